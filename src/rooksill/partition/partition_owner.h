// The partition owner: handles the heartbeats of its workers and places and stops tasks on them.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rooksill/agent/command_log.h"
#include "rooksill/agent/command_sender.h"
#include "rooksill/agent/failure_detector.h"
#include "rooksill/agent/heartbeat_endpoint.h"
#include "rooksill/agent/heartbeat_receiver.h"
#include "rooksill/agent/heartbeat_responder.h"
#include "rooksill/agent/job_backoff.h"
#include "rooksill/agent/reconciler.h"
#include "rooksill/agent/renewal_permit.h"
#include "rooksill/agent/start_permit.h"
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

// Runs in every controller and is responsible for the partitions whose leases this controller
// holds. Combines the worker table, failure detection, reconciliation of workers with the store,
// placement and quota transfers. The controller calls its steps in a fixed order in each iteration
// of its loop. Task state changes are queued and written to the store asynchronously.
class PartitionOwner : private changes::TaskChangeListener {
 public:
  // All arguments must outlive the owner.
  PartitionOwner(runtime::Context& context, store::Replica& replica, store::Client& client,
                 store::Committer& committer, const membership::Cancellations& cancellations);

  // Handles a worker's heartbeat and sends the reply. `request` identifies the HTTP request and
  // `body` is its body.
  void handle_heartbeat(uint64_t request, const std::string& body) {
    heartbeat_endpoint_.handle(request, body);
  }
  // Applies a leader's update: shards routed here, tasks to move, machines to drain and quota
  // transfers. Ignores an update of an earlier leader term.
  void apply_routing_update(const wire::RoutingUpdate& update);
  // Adds a shard to those that this owner has to place.
  void add_routed_shard(const model::ShardId& shard) { routed_shards_.add(shard); }
  // Routes pending shards by the fallback rule that all controllers share. Called while there is no
  // leader.
  void route_without_leader();
  // Records the address under which a machine's worker can be reached.
  void record_address(const std::string& machine, const std::string& address) {
    workers_.record_address(machine, address);
  }

  // Acquires partitions whose lease now names this controller and releases those whose lease was
  // lost.
  void update_ownership();
  // Performs the checks that depend on time alone: sends probes, detects unreachable workers, drops
  // evictions that are complete and requests a placement pass while shards are routed here.
  void check_timeouts();
  // Adds, removes and marks the workers of machines that the last batch of store changes affected.
  void apply_store_changes();
  // Retries quota transfers in progress and starts those that the leader requested, limited to the
  // unused part of each share. Must be called only when all machines of the owned partitions are in
  // the worker table: otherwise the usage is incomplete and too much of a share is transferred.
  void transfer_quotas();
  // Runs a placement pass if one was requested and the interval since the last one has elapsed. The
  // interval grows with the number of pending shards.
  void run_placement_pass();
  // Writes queued task state changes to the store as far as its rate limits allow, in the order of
  // changes::WriteRank: urgent results come first.
  void flush_changes() { changes_.flush(); }
  // Answers the heartbeats whose response is due. Then reconciles the workers that changed since
  // the last call and sends urgent commands directly to them; other commands go out with heartbeat
  // responses.
  void send_commands() {
    heartbeat_responder_.send_due();
    command_sender_.send_urgent();
  }
  // Requests a placement pass.
  void request_placement() { placement_requested_ = true; }

  // Returns the statuses that changed since the last call, plus a rotating subset of the unchanged
  // ones to make up for lost messages. Returns all statuses if `all` is set.
  std::vector<wire::MachineStatus> collect_status_updates(bool all);
  // Returns the worker addresses learned since the last call, plus a rotating subset of the others.
  std::vector<wire::MachineAddress> collect_address_updates() {
    return workers_.collect_address_updates();
  }
  // Returns the usage of teams with a limited quota in the owned partitions.
  std::vector<wire::QuotaUse> quota_usage() const;
  // Returns the number of shards with changes that are still to be sent to the store.
  size_t pending_shard_writes() const { return changes_.pending_shard_count(); }
  // Returns a request for each owned partition that needs a new lease, because the fencing tokens
  // of its present one no longer suffice for all of its workers.
  std::vector<wire::LeaseRenewalRequest> lease_renewal_requests() const;
  // Returns a one-line summary of the owned machines for the log.
  std::string machine_summary();
  // Returns whether this controller owns the partition under its current lease.
  bool owns(int partition) const { return owned_partitions_.owns(partition); }
  // Returns whether nearly all workers are unreachable, so that this controller rather than its
  // workers is probably cut off from the network.
  bool is_likely_isolated() const { return failure_detector_.is_likely_isolated(); }
  // Returns the machines that have been unreachable long enough to be given up; at most as many as
  // fit in one store value.
  std::vector<std::string> unreachable_machines() const {
    return failure_detector_.unreachable_machines();
  }
  // Returns the zones that this controller cannot reach.
  std::vector<std::string> unreachable_zones() const {
    return failure_detector_.unreachable_zones();
  }
  // Returns whether placement of the job's tasks is delayed after failures on several machines.
  bool is_backing_off(const std::string& job) const { return job_backoff_.is_backing_off(job); }
  // Returns and clears the last worker that sent a heartbeat without belonging to any partition.
  std::optional<wire::UnassignedMachine> extract_unassigned_machine() {
    return heartbeat_endpoint_.extract_unassigned_machine();
  }

 private:
  void acquire_partition(int partition);
  void remove_workers(int partition);
  void update_worker(const std::string& machine_name);

  // Implement changes::TaskChangeListener.
  void on_change_added(const model::TaskRef& task, const changes::TaskChange& change) override;
  void on_change_removed(const model::TaskRef& task, const changes::TaskChange& change) override;
  bool is_terminating(const std::string& machine) const override;

  void evict(const wire::TaskMove& move);

  wire::MachineStatus status_of(agent::Worker& worker);
  bool expects_placement(double received_at) const;
  bool is_schedulable(const agent::Worker& worker) const;
  std::vector<agent::Worker*> schedulable_workers();
  bool exceeds_quota(const std::string& team, agent::Worker& worker);
  std::vector<placement::PendingShard> pending_shards();

  runtime::Context& context_;
  store::Replica& replica_;
  store::Client& client_;
  changes::OwnedPartitions owned_partitions_;
  agent::WorkerTable workers_;
  agent::FailureDetector failure_detector_;
  changes::TaskChangeQueue changes_;
  placement::EvictedTasks evicted_tasks_;
  agent::JobBackoff job_backoff_;
  agent::RenewalPermit renewal_permit_;
  agent::StartPermit start_permit_;
  agent::HeartbeatReceiver heartbeat_receiver_;
  agent::Reconciler reconciler_;
  agent::CommandLog command_log_;
  agent::HeartbeatResponder heartbeat_responder_;
  agent::HeartbeatEndpoint heartbeat_endpoint_;
  agent::CommandSender command_sender_;
  RoutedShards routed_shards_;
  quota::QuotaTransfers quota_transfers_;
  QuotaUsage quota_usage_;
  CapacityTracker capacities_;
  placement::EvictionBudget eviction_budget_;
  std::vector<wire::QuotaTransfer> requested_transfers_;  // by the leader, not started yet
  double last_pass_at_s_ = 0;                             // steady clock; of the placement pass
  double next_pass_at_s_ = 0;                             // steady clock; no placement pass before
  bool placement_requested_ = false;
};

}  // namespace rooksill::partition
