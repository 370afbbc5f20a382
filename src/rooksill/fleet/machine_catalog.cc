#include "rooksill/fleet/machine_catalog.h"

#include <optional>
#include <string>
#include <utility>

#include "rooksill/model/value_sizes.h"
#include "rooksill/wire/cloud_codec.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::fleet {

namespace {
constexpr double kRefreshHeartbeats = 20;   // between two requests
constexpr double kStoreRetrySeconds = 0.3;  // after a transaction that was not applied

// A type's name is part of a store key, which limits its length and characters.
bool is_valid_type_name(const std::string& name) {
  return !name.empty() && name.find(' ') == std::string::npos &&
         name.size() <= model::kMaxNameBytes;
}
}  // namespace

void MachineCatalog::start_term() {
  request_in_flight_ = false;
  next_request_at_ = 0;
}

void MachineCatalog::refresh() {
  if (request_in_flight_ || context_.now.steady < next_request_at_) return;
  request_in_flight_ =
      cloud_.get("/catalog", [this](const runtime::CallDone& done) { on_response(done); });
}

void MachineCatalog::on_response(const runtime::CallDone& done) {
  request_in_flight_ = false;
  const auto types = wire::parse_catalog(done.body);
  const bool answered = done.status == 200 && types;
  const double heartbeat_s = context_.settings.platform.report_s;
  next_request_at_ =
      context_.now.steady + (answered ? kRefreshHeartbeats * heartbeat_s : heartbeat_s / 3);
  if (answered) store_types(*types);
}

void MachineCatalog::store_types(const std::vector<model::MachineType>& types) {
  std::vector<store::Write> writes = changed_types(types);
  if (writes.empty()) return;
  const auto retry_soon = [this] { next_request_at_ = context_.now.steady + kStoreRetrySeconds; };
  const bool sent =
      committer_.commit({{wire::kLeaderKey, replica_.leader.revision}}, std::move(writes),
                        [retry_soon](const store::TransactionResult& result) {
                          if (result.outcome != store::TransactionOutcome::kApplied) retry_soon();
                        });
  if (!sent) retry_soon();
}

// Returns as many changed types as one transaction may write; the next refresh writes the others.
std::vector<store::Write> MachineCatalog::changed_types(
    const std::vector<model::MachineType>& types) const {
  std::vector<store::Write> writes;
  for (const model::MachineType& type : types) {
    if (!is_valid_type_name(type.name)) continue;
    auto value = wire::encode_type(type);
    const auto known = replica_.types.find(type.name);
    if (known != replica_.types.end() && wire::encode_type(known->second) == value) continue;
    if (writes.size() < context_.settings.platform.store_max_transaction_ops)
      writes.push_back({wire::type_key(type.name), std::move(value), 0});
  }
  return writes;
}

}  // namespace rooksill::fleet
