#include "rooksill/fleet/rentals.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "rooksill/wire/cloud_codec.h"

namespace rooksill::fleet {

namespace {
// After so many failed tries a request is dropped; if it is carried out late, its machines are
// adopted when they are listed.
constexpr int kMostFailedTries = 20;

bool says_no_capacity(const runtime::CallDone& done) {
  return done.status == 400 ||
         (done.status == 503 && done.body.find("no capacity") != std::string::npos);
}
}  // namespace

void Rentals::start_term(uint64_t term) {
  term_ = term;
  next_number_ = 1;
  requests_.clear();
}

void Rentals::request(const Offer& offer, int count, const std::string& reason, int partition) {
  if (count <= 0) return;
  last_request_[offer] = context_.now.steady;
  RentalRequest request;
  request.offer = offer;
  request.count = std::min(count, kMaxMachinesPerRental);
  request.partition = partition;
  const std::string name = "rk-" + std::to_string(term_) + "-" + std::to_string(next_number_++);
  context_.info("fleet", "rent {} {} {} in {} ({}) as {}", request.count, kind_name(offer.pool),
                offer.pool.type, offer.zone, reason, name);
  requests_.emplace(name, std::move(request));
}

void Rentals::send() {
  for (auto& [name, request] : requests_) {
    if (request.state == RentalRequest::State::kUnderWay) continue;
    if (context_.now.steady < request.next_try) continue;
    const InstancePool& pool = request.offer.pool;
    const bool sent = cloud_.post(
        "/hosts",
        wire::encode_rental_request(name, pool.type, request.offer.zone, pool.spot, request.count),
        [this, name = name](const runtime::CallDone& done) { on_response(name, done); });
    if (!sent) return;
    request.state = RentalRequest::State::kUnderWay;
  }
}

void Rentals::on_response(const std::string& name, const runtime::CallDone& done) {
  const auto it = requests_.find(name);
  if (it == requests_.end()) return;
  RentalRequest& request = it->second;
  request.state = RentalRequest::State::kToSend;
  if (take_machines(request, done)) {
    requests_.erase(it);
    return;
  }
  if (says_no_capacity(done)) {
    context_.info("fleet", "no capacity: {} {} in {}", kind_name(request.offer.pool),
                  request.offer.pool.type, request.offer.zone);
    capacity_.record_refusal(request.offer);
    requests_.erase(it);
    return;
  }
  // Refused for another reason, or the outcome is unknown.
  request.next_try = context_.now.steady + context_.settings.platform.report_s / 3;
  if (++request.failed_tries > kMostFailedTries) requests_.erase(it);
}

bool Rentals::take_machines(const RentalRequest& request, const runtime::CallDone& done) {
  if (done.status != 200) return false;
  const auto names = wire::parse_rented_names(done.body);
  if (!names) return false;
  lists_.add(*names, request.offer, request.partition);
  if (!names->empty()) capacity_.record_supply(request.offer);
  if (static_cast<int>(names->size()) < request.count) capacity_.record_refusal(request.offer);
  return true;
}

bool Rentals::is_expected(const Offer& offer) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
    const RentalRequest& request = entry.second;
    return request.state == RentalRequest::State::kUnderWay && request.offer == offer;
  });
}

bool Rentals::requested_within(const Offer& offer, double seconds) const {
  const auto last = last_request_.find(offer);
  return last != last_request_.end() && context_.now.steady < last->second + seconds;
}

}  // namespace rooksill::fleet
