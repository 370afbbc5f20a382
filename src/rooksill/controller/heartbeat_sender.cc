#include "rooksill/controller/heartbeat_sender.h"

#include "rooksill/model/coordination.h"
#include "rooksill/wire/controller_messages.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::controller {

namespace {
// In worker report intervals (report_s): time without an answer after which the store counts as not
// responding, provided that the last call to it failed.
constexpr double kStoreTimeoutReports = 0.5;
}  // namespace

bool HeartbeatSender::is_store_responding() const {
  const double store_age = context_.now.steady - client_.last_response_at();
  return client_.is_healthy() ||
         store_age < context_.settings.platform.report_s * kStoreTimeoutReports;
}

void HeartbeatSender::send_heartbeat() {
  wire::ControllerHeartbeat heartbeat;
  heartbeat.is_ready = replica_.synced;
  heartbeat.is_store_available = is_store_responding();
  heartbeat.store_response_age_s = context_.now.steady - client_.last_response_at();
  heartbeat.suspects_itself = owner_.is_likely_isolated();
  heartbeat.term = leader_.term();
  heartbeat.addresses = owner_.collect_address_updates();
  heartbeat.unreachable_zones = owner_.unreachable_zones();
  heartbeat.quota_use = owner_.quota_usage();
  cancellations_.add_to_heartbeat(heartbeat);
  peers_.broadcast(wire::PeerMessageKind::kHeartbeat, wire::pack(heartbeat));
}

void HeartbeatSender::write_liveness_record() {
  const double now = context_.now.steady;
  if (!liveness_timer_.expired(now) || !replica_.synced || !is_store_responding()) return;
  const auto recipients = peers_.liveness_recipients(replica_);
  if (recipients.empty()) return;
  model::LivenessRecord record;
  record.incarnation = context_.incarnation;
  record.suspects_itself = owner_.is_likely_isolated();
  record.intended_recipients = recipients;
  record.unreachable_machines = owner_.unreachable_machines();
  record.unreachable_zones = owner_.unreachable_zones();
  const auto key = wire::liveness_key(context_.settings.platform.label);
  // The result is ignored because the next record replaces this one.
  const bool sent = committer_.commit({}, {{key, wire::encode_liveness(record), 0}},
                                      [](const store::TransactionResult&) {});
  if (!sent) return;
  context_.count("liveness_records");
  liveness_timer_.restart(now, peers_.liveness_record_interval_s());
}

}  // namespace rooksill::controller
