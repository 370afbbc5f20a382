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
constexpr double kRefreshReports = 20;      // report intervals between two requests
constexpr double kStoreRetrySeconds = 0.3;  // after a transaction that was not applied

// A type's name becomes part of a store key.
bool is_valid_name(const std::string& name) {
  return !name.empty() && name.find(' ') == std::string::npos && name.size() <= model::kMaxName;
}
}  // namespace

void MachineCatalog::start_term() {
  request_under_way_ = false;
  next_request_ = 0;
}

void MachineCatalog::refresh() {
  if (request_under_way_ || context_.now.steady < next_request_) return;
  request_under_way_ =
      cloud_.get("/catalog", [this](const runtime::CallDone& done) { on_response(done); });
}

void MachineCatalog::on_response(const runtime::CallDone& done) {
  request_under_way_ = false;
  const auto types = wire::parse_catalog(done.body);
  const bool answered = done.status == 200 && types;
  const double report = context_.settings.platform.report_s;
  next_request_ = context_.now.steady + (answered ? kRefreshReports * report : report / 3);
  if (answered) store_types(*types);
}

void MachineCatalog::store_types(const std::vector<model::MachineType>& types) {
  std::vector<store::Write> writes = changed_types(types);
  if (writes.empty()) return;
  const auto retry_soon = [this] { next_request_ = context_.now.steady + kStoreRetrySeconds; };
  const bool sent =
      committer_.commit({{wire::kLeaderKey, replica_.leader.revision}}, std::move(writes),
                        [retry_soon](const store::TransactionResult& result) {
                          if (result.outcome != store::TransactionOutcome::kApplied) retry_soon();
                        });
  if (!sent) retry_soon();
}

// As many as one transaction holds; the others follow with the next refresh.
std::vector<store::Write> MachineCatalog::changed_types(
    const std::vector<model::MachineType>& types) const {
  std::vector<store::Write> writes;
  for (const model::MachineType& type : types) {
    if (!is_valid_name(type.name)) continue;
    auto value = wire::encode_type(type);
    const auto known = replica_.types.find(type.name);
    if (known != replica_.types.end() && wire::encode_type(known->second) == value) continue;
    if (writes.size() < context_.settings.platform.store_max_transaction_ops)
      writes.push_back({wire::type_key(type.name), std::move(value), 0});
  }
  return writes;
}

}  // namespace rooksill::fleet
