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

#include "rooksill/agent/failure_detector.h"
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
  void report(uint64_t request, const std::string& body);
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
  void push();                        // commands that must be quick
  void request_placement() { placement_requested_ = true; }

  // What changed since the last call, and some others in turn; everything if `all`.
  std::vector<wire::MachineStatus> take_statuses(bool all);
  std::vector<wire::Address> take_addresses() { return workers_.take_addresses(); }
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
  bool backing_off(const std::string& job) const;
  std::optional<wire::UnassignedMachine> take_unassigned_machine();

 private:
  struct JobTrouble {
    std::set<std::string> machines;
    int failures = 0;
    double retry_at = 0;
  };
  void activate(int partition);
  void drop_workers(int partition);
  void accept_heartbeat(agent::Worker& w, const wire::WorkerHeartbeat& r);
  void reconcile(agent::Worker& w, std::vector<wire::WorkerCommand>* commands);
  bool trusted(const agent::Worker& w) const;
  bool ends_in_time(const agent::Worker& w, const wire::ReportedTask& t,
                    const model::Job& job) const;
  void lost(agent::Worker& w, const wire::ReportedTask& t);
  void record_failure(agent::Worker& w, const std::string& job, uint64_t attempt);
  void record_images(agent::Worker& w);

  // Of changes::TaskChangeListener.
  void on_change_added(const model::TaskRef& task, const changes::TaskChange& change) override;
  void on_change_removed(const model::TaskRef& task, const changes::TaskChange& change) override;
  bool terminating(const std::string& machine) const override;

  std::optional<wire::WorkerCommand> command_for_unreported(agent::Worker& w,
                                                            const model::TaskRef& ref,
                                                            const model::Job& job, bool sure);
  std::optional<wire::WorkerCommand> command_for(agent::Worker& w, const wire::ReportedTask& t,
                                                 const model::Job& job);
  bool entitled() const;
  void evict(const wire::TaskMove& move);
  void send(agent::Worker& w, std::vector<wire::WorkerCommand> commands, bool even_if_empty);

  wire::MachineStatus status_of(agent::Worker& worker);
  bool open(const agent::Worker& w) const;
  std::vector<agent::Worker*> open_workers();
  bool exceeds_quota(const std::string& team, agent::Worker& w);
  std::vector<placement::WaitingShard> waiting_shards();
  // Gang jobs.
  bool gang_broken(const model::Job& job) const;
  void stop_gang(const model::Job& job);

  runtime::Context& ctx_;
  store::Replica& replica_;
  store::Client& client_;
  const membership::Cancellations& cancellations_;
  changes::OwnedPartitions owned_;
  agent::WorkerTable workers_;
  agent::FailureDetector failure_detector_;
  changes::TaskChangeQueue changes_;
  RoutedShards routed_;
  std::unordered_map<std::string, JobTrouble> troubles_;
  placement::EvictedTasks evicted_;
  quota::QuotaTransfers transfers_;
  QuotaUsage quota_usage_;
  CapacityTracker capacities_;
  placement::EvictionBudget eviction_budget_;
  std::vector<wire::QuotaTransfer> asked_transfers_;
  std::optional<wire::UnassignedMachine> unassigned_machine_;
  int sends_ = 0;  // commands under way
  double next_place_ = 0;
  bool placement_requested_ = false;
};

}  // namespace rooksill::partition
