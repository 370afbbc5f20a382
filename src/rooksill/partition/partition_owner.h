// The owner of partitions: answers its workers' reports, places tasks inside the partitions, stops
// them.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rooksill/agent/command_sender.h"
#include "rooksill/agent/failure_detector.h"
#include "rooksill/agent/heartbeat_endpoint.h"
#include "rooksill/agent/heartbeat_receiver.h"
#include "rooksill/agent/job_backoff.h"
#include "rooksill/agent/reconciler.h"
#include "rooksill/agent/renewal_permit.h"
#include "rooksill/agent/worker.h"
#include "rooksill/agent/worker_table.h"
#include "rooksill/changes/owned_partitions.h"
#include "rooksill/changes/task_change.h"
#include "rooksill/changes/task_change_listener.h"
#include "rooksill/changes/task_change_queue.h"
#include "rooksill/membership/cancellations.h"
#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/partition/capacity_tracker.h"
#include "rooksill/partition/quota_usage.h"
#include "rooksill/partition/routed_shards.h"
#include "rooksill/placement/evicted_tasks.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/placement/preemption.h"
#include "rooksill/placement/work_order.h"
#include "rooksill/quota/quota_transfers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::partition {

class PartitionOwner : private changes::TaskChangeListener {
 public:
  PartitionOwner(runtime::Context& ctx, store::Replica& replica, store::Client& client,
                 store::Committer& committer, const membership::Cancellations& cancellations);

  // A worker's report; answers it.
  void report(uint64_t request, const std::string& body) {
    heartbeat_endpoint_.handle(request, body);
  }
  // Takes in what the leader routes here, and what it wants moved, drained and transferred.
  void routes(const wire::RoutingUpdate& update);
  void route_here(const model::ShardId& shard) { routed_.add(shard); }
  // While nobody leads: places what waits, by a rule that all controllers share.
  void route_without_leader();
  void record_address(const std::string& machine, const std::string& address) {
    workers_.record_address(machine, address);
  }

  void tick();                 // takes leases up and gives them up
  void check_timeouts();       // what only time changes: probes, silence
  void apply_store_changes();  // that came with the batch
  // Passes on shares of limits as the leader asked, as far as they are not in use.
  void transfer_quotas();
  void place();                       // at most once in a while, if there is reason to
  void flush() { changes_.flush(); }  // changes of state, reports' results first
  void send_commands() { command_sender_.send_urgent(); }  // as far as they are urgent
  void request_placement() { placement_requested_ = true; }

  // What changed since the last call, and some others in turn; everything if `all`.
  std::vector<wire::MachineStatus> take_statuses(bool all);
  std::vector<wire::MachineAddress> take_addresses() { return workers_.take_addresses(); }
  // Of teams with a limit, in the partitions held.
  std::vector<wire::QuotaUse> quota_use() const;
  size_t queued() const { return changes_.size(); }
  std::string summary();  // of the machines held, for the log
  bool owns(int partition) const { return owned_.owns(partition); }
  bool suspects_itself() const { return failure_detector_.suspects_itself(); }
  std::vector<std::string> silent_machines() const { return failure_detector_.silent_machines(); }
  // Zones that this controller cannot reach.
  std::vector<std::string> unreachable_zones() const {
    return failure_detector_.unreachable_zones();
  }
  bool backing_off(const std::string& job) const { return job_backoff_.backing_off(job); }
  std::optional<wire::UnassignedMachine> take_unassigned_machine() {
    return heartbeat_endpoint_.take_unassigned_machine();
  }

 private:
  void activate(int partition);
  void drop_workers(int partition);
  // Of changes::TaskChangeListener.
  void on_change_added(const model::TaskRef& task, const changes::TaskChange& change) override;
  void on_change_removed(const model::TaskRef& task, const changes::TaskChange& change) override;
  bool terminating(const std::string& machine) const override;

  void evict(const wire::TaskMove& move);

  wire::MachineStatus status_of(agent::Worker& worker);
  bool open(const agent::Worker& w) const;
  std::vector<agent::Worker*> open_workers();
  bool exceeds_quota(const std::string& team, agent::Worker& w);
  std::vector<placement::WaitingShard> waiting_shards();

  runtime::Context& ctx_;
  store::Replica& replica_;
  store::Client& client_;
  changes::OwnedPartitions owned_;
  agent::WorkerTable workers_;
  agent::FailureDetector failure_detector_;
  changes::TaskChangeQueue changes_;
  placement::EvictedTasks evicted_;
  agent::JobBackoff job_backoff_;
  agent::RenewalPermit renewal_permit_;
  agent::HeartbeatReceiver heartbeat_receiver_;
  agent::Reconciler reconciler_;
  agent::HeartbeatEndpoint heartbeat_endpoint_;
  agent::CommandSender command_sender_;
  RoutedShards routed_;
  quota::QuotaTransfers transfers_;
  QuotaUsage quota_usage_;
  CapacityTracker capacities_;
  placement::EvictionBudget eviction_budget_;
  std::vector<wire::QuotaTransfer> asked_transfers_;
  double next_place_ = 0;
  bool placement_requested_ = false;
};

}  // namespace rooksill::partition
