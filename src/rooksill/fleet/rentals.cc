#include "rooksill/fleet/rentals.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "rooksill/wire/cloud_codec.h"

namespace rooksill::fleet {

namespace {
// A request is dropped after this many failed tries. If the cloud executes it late, its machines
// are adopted once they are listed.
constexpr int kMaxFailedTries = 20;

bool is_out_of_capacity(const runtime::CallDone& done) {
  return done.status == 400 ||
         (done.status == 503 && done.body.find("no capacity") != std::string::npos);
}
}  // namespace

void Rentals::start_term(uint64_t term) {
  term_ = term;
  next_request_number_ = 1;
  requests_.clear();
}

void Rentals::request(const Offer& offer, int count, const std::string& reason, int partition) {
  if (count <= 0) return;
  last_request_at_[offer] = context_.now.steady;
  RentalRequest request;
  request.offer = offer;
  request.count = std::min(count, kMaxMachinesPerRental);
  request.partition = partition;
  const std::string name =
      "rk-" + std::to_string(term_) + "-" + std::to_string(next_request_number_++);
  context_.info("fleet", "renting {} {} {} in {} ({}), request {}", request.count,
                pool_kind_name(offer.pool), offer.pool.type, offer.zone, reason, name);
  requests_.emplace(name, std::move(request));
}

void Rentals::send() {
  for (auto& [name, request] : requests_) {
    if (request.state == RentalRequest::State::kInFlight) continue;
    if (context_.now.steady < request.next_try_at) continue;
    const InstancePool& pool = request.offer.pool;
    const bool sent = cloud_.post(
        "/hosts",
        wire::encode_rental_request(name, pool.type, request.offer.zone, pool.spot, request.count),
        [this, name = name](const runtime::CallDone& done) { on_response(name, done); });
    if (!sent) return;
    request.state = RentalRequest::State::kInFlight;
  }
}

void Rentals::on_response(const std::string& name, const runtime::CallDone& done) {
  const auto it = requests_.find(name);
  if (it == requests_.end()) return;
  RentalRequest& request = it->second;
  request.state = RentalRequest::State::kToSend;
  if (add_rented_machines(name, request, done)) {
    requests_.erase(it);
    return;
  }
  if (is_out_of_capacity(done)) {
    context_.info("fleet", "rental refused: no capacity for {} {} in {}",
                  pool_kind_name(request.offer.pool), request.offer.pool.type, request.offer.zone);
    capacity_limits_.record_refusal(request.offer);
    requests_.erase(it);
    return;
  }
  // The request failed for another reason, or its outcome is unknown, so it is retried.
  request.next_try_at = context_.now.steady + context_.settings.platform.report_s / 3;
  if (++request.failed_tries > kMaxFailedTries) requests_.erase(it);
}

bool Rentals::add_rented_machines(const std::string& name, const RentalRequest& request,
                                  const runtime::CallDone& done) {
  if (done.status != 200) return false;
  const auto names = wire::parse_rented_names(done.body);
  if (!names) return false;
  std::vector<std::string> held = *names;
  std::erase_if(held, [this](const std::string& machine) {
    return returns_.is_leaving(machine) || returns_.was_recently_released(machine);
  });
  const size_t added = lists_.add(held, request.offer, request.partition);
  context_.info("fleet",
                "request {} answered: {} of {} machines, {} of them new, after {} failures", name,
                names->size(), request.count, added, request.failed_tries);
  if (!names->empty()) capacity_limits_.record_success(request.offer);
  if (static_cast<int>(names->size()) < request.count)
    capacity_limits_.record_refusal(request.offer);
  return true;
}

bool Rentals::has_request_in_flight(const Offer& offer) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
    const RentalRequest& request = entry.second;
    return request.state == RentalRequest::State::kInFlight && request.offer == offer;
  });
}

bool Rentals::was_requested_within(const Offer& offer, double seconds) const {
  const auto last = last_request_at_.find(offer);
  return last != last_request_at_.end() && context_.now.steady < last->second + seconds;
}

}  // namespace rooksill::fleet
