// The owner of partitions: answers its workers' reports, places tasks inside the partitions, stops
// them.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rooksill/changes/owned_partitions.h"
#include "rooksill/changes/task_change.h"
#include "rooksill/membership/cancellations.h"
#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/placement/gang_plan.h"
#include "rooksill/quota/quota_transfers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"
#include "rooksill/wire/worker_codec.h"

namespace rooksill::partition {

inline constexpr double kProbeReports = 1.15;  // silence, in reports, after which one is asked

// What is free on a machine, as its owner sees it. Worked out anew when something there changed.
struct Room {
  const model::MachineType* type = nullptr;
  int partition = 0;
  bool spot = false;
  std::string zone;
  double cpus = 0, gpus = 0, memory = 0;
  uint32_t tasks = 0;
  std::vector<int> fetching;  // images on their way there
  // Cores of tasks by priority, and what those being stopped will leave.
  std::array<double, 4> cpus_by_priority{};
  double leaving_cpus = 0, leaving_gpus = 0, leaving_memory = 0;
  // What each team has here, so that it can be taken back when the room is worked out anew.
  std::map<std::string, std::pair<double, double>> teams;
};

// What a owner knows of a machine in one of its partitions.
struct Worker {
  std::string name, address;
  int partition = 0;
  model::FencingToken fencing_token =
      model::kNoFencingToken;  // sent with every answer and command; only rises
  // Highest token that was sent with a direct command nobody acknowledged. Such a command may
  // still run until the worker has seen a higher one.
  model::FencingToken unacknowledged_token = model::kNoFencingToken;
  model::FencingToken sending =
      model::kNoFencingToken;  // token of the direct command under way, 0: none
  uint64_t agent_epoch = 0, sequence = 0;
  model::FencingToken seen_fencing_token = model::kNoFencingToken;
  bool reported = false;
  double last_heard = 0;   // in whatever way
  double heard_since = 0;  // when it was heard again after a silence
  double lease_ends = 0;   // at the latest, if no report of its own is answered
  double last_report = 0;  // that it brought itself: only an answer to one renews its lease
  double next_probe = 0, next_push = 0;
  bool probing = false, probe_failed = false;
  int failed_probes = 0;
  std::map<model::TaskRef, double> running_since;
  std::vector<wire::ReportedTask> tasks;
  std::optional<double> terminates_at;
  std::list<std::pair<int, double>> images;  // by number, most recently used first
  double image_gb = 0;
  int failures = 0;
  std::set<std::string> failed_jobs;
  bool bad = false;
  double avoid_until = 0;
  std::set<model::TaskRef> placing;  // decided and not yet in the state
  Room room;
  // attention: to be looked at; settled: its last answer said all there was to say.
  bool room_stale = true, attention = false, settled = false, status_changed = true, silent = false;
  wire::MachineStatus told;  // to the leader, last
  bool has_image(int image) const;
};

class PartitionOwner {
 public:
  PartitionOwner(runtime::Context& ctx, store::Replica& replica, store::Client& client,
                 store::Committer& committer, const membership::Cancellations& cancellations);

  // A worker's report; answers it.
  void report(uint64_t request, const std::string& body);
  void routes(const wire::RoutingUpdate& r);
  void route_here(const model::ShardId& shard) { routed_.insert(shard); }
  void
  route_without_leader();  // while nobody routes: what waits, by a rule that all controllers share
  void record_address(const std::string& machine, const std::string& address);

  void tick();            // takes leases up and gives them up
  void check_timeouts();  // what only time changes: probes, silence
  void look();            // at what the batch changed
  // Passes on shares of limits as the leader asked, as far as they are not in use.
  void transfer_quotas();
  void place();  // at most once in a while, if there is reason to
  void flush();  // changes of state, reports' results first
  void push();   // commands that must be quick
  void request_placement() { placement_requested_ = true; }

  // What changed since the last call, and some others in turn; everything if `all`.
  std::vector<wire::MachineStatus> take_statuses(bool all);
  std::vector<wire::Address> take_addresses();
  // Of teams with a limit, in the partitions held.
  std::vector<wire::QuotaUse> quota_use();
  size_t queued() const { return queue_.size(); }
  std::string summary();  // of the machines held, for the log
  bool owns(int partition) const { return owned_.owns(partition); }
  bool suspects_itself() const { return suspects_itself_; }
  std::vector<std::string> silent_machines() const;
  std::vector<std::string> unreachable_zones() const;  // cut off, as far as this node can see
  bool backing_off(const std::string& job) const;
  std::optional<wire::UnassignedMachine> take_unassigned_machine();

 private:
  // In which order changes go out. Results that complete a job or would be lost first, then
  // decisions and losses by priority; results that complete nothing wait for writes to spare.
  using Rank = std::pair<int, double>;
  using Changes = std::map<uint32_t, changes::TaskChange>;  // by the task's place in its shard
  struct ShardWork {
    Changes waiting, sent;
    model::Revision sent_on = model::kNoRevision;  // revision of the shard that `sent` goes with
    bool busy = false;
    std::optional<Rank> queued;
    double since = 0;
  };
  // A shard as it is to be written, with the revisions that this rests on.
  struct ShardWrite {
    std::vector<model::TaskState> tasks;
    nlohmann::json value;  // null: the shard is deleted with its job's end
    size_t bytes = 0;      // of the value
    std::map<std::string, model::Revision> preconditions;
    bool last = false;
  };
  // A transaction in the making.
  struct Group {
    std::map<std::string, model::Revision> preconditions;
    std::vector<store::Write> writes;
    std::vector<model::ShardId> shards;
    std::vector<std::string> keys;  // to be read back when the outcome is unknown
    size_t bytes = 0;
    void add(store::Write write, size_t value_bytes);
  };
  enum class Added { kShard, kNothing, kFull };
  struct ZoneCheck {
    double asked = -1e9;
    int sent = 0, answered = 0;
    bool judged = true, unreachable = false;
  };
  struct JobTrouble {
    std::set<std::string> machines;
    int failures = 0;
    double retry_at = 0;
  };
  struct Candidate {
    const model::Job* job;
    uint32_t shard;
    double due;
  };
  // What a pass of placement found no room for: nothing larger needs to be looked for.
  struct Unmet {
    double cpus = 0, gpus = 0, memory = 0;
  };

  void activate(int partition);
  void drop_workers(int partition);
  void accept_heartbeat(Worker& w, const wire::WorkerHeartbeat& r);
  void reconcile(Worker& w, std::vector<wire::WorkerCommand>* commands);
  bool trusted(const Worker& w) const;
  bool ends_in_time(const Worker& w, const wire::ReportedTask& t, const model::Job& job) const;
  void lost(Worker& w, const wire::ReportedTask& t);
  void record_failure(Worker& w, const std::string& job, uint64_t attempt);
  void record_images(Worker& w);
  void attend(Worker& w);

  void change(const model::TaskRef& task, changes::TaskChange c);
  const changes::TaskChange* change_of(const model::TaskRef& task) const;
  static const changes::TaskChange* change_in(const ShardWork& work, uint32_t index);
  bool changing(const model::TaskRef& task) const { return change_of(task) != nullptr; }
  void resolve(const std::vector<model::ShardId>& shards);
  void queue(const model::ShardId& id, ShardWork& work);
  void unqueue(const model::ShardId& id, ShardWork& work);
  bool more_to_come(const model::Job& job, uint32_t shard, const ShardWork& work) const;
  static int decision_rank(const model::JobSpec& s);
  bool may_decide(const Candidate& c) const;
  void drop_change(const model::ShardId& id, uint32_t index, const changes::TaskChange& c);
  model::Revision basis(const model::Job& job, int partition) const;
  std::optional<wire::WorkerCommand> command_for_unreported(Worker& w, const model::TaskRef& ref,
                                                            const model::Job& job, bool sure);
  std::optional<wire::WorkerCommand> command_for(Worker& w, const wire::ReportedTask& t,
                                                 const model::Job& job);
  bool apply_change(const model::Job& job, const model::TaskShard& shard, model::TaskState& state,
                    const changes::TaskChange& c) const;
  bool apply_waiting(const model::Job& job, const model::ShardId& id, ShardWork& work,
                     ShardWrite& out);
  Changes::iterator drop_waiting(const model::Job& job, const model::ShardId& id, ShardWork& work,
                                 Changes::iterator at, std::vector<model::TaskState>& tasks);
  bool fits_value(const model::Job& job, const model::ShardId& id, ShardWork& work,
                  ShardWrite& out);
  void add_preconditions(const model::Job& job, const model::ShardId& id, const ShardWork& work,
                         ShardWrite& out) const;
  Added add_to_group(const model::ShardId& id, Group& group);
  void flush_group();
  void settle(const std::vector<model::ShardId>& shards, const store::TransactionResult& result,
              std::vector<std::string> keys);
  void drop_sent(const std::vector<model::ShardId>& shards);
  void send_again(const std::vector<model::ShardId>& shards);
  double silence_of(const Worker& w) const;
  void probe(Worker& w);
  void suspect(size_t silent, size_t up);
  bool entitled() const;
  void check_zone(const std::string& zone);
  void judge_zones();
  void send(Worker& w, std::vector<wire::WorkerCommand> commands, bool even_if_empty);

  wire::MachineStatus status_of(Worker& w);
  const Room& room_of(Worker& w);
  void work_out_room(Worker& w);
  void forget_room(Worker& w);
  bool open(const Worker& w) const;
  std::vector<Worker*> open_workers();
  bool allowed(const model::JobSpec& s, const Worker& w) const;
  static bool fits(const model::JobSpec& s, double cpus, double gpus, double memory);
  uint32_t slots(const model::JobSpec& s, const Worker& w);
  double score(const model::Job& job, const Worker& w) const;
  const model::QuotaShare& team_quota(const std::string& team, int partition);
  bool within_quota(const model::JobSpec& s, int partition);
  bool exceeds_quota(const std::string& team, Worker& w);
  void place_shard(const Candidate& c, const std::vector<Worker*>& workers);
  uint32_t make_room(const model::Job& job, uint32_t count, const std::vector<Worker*>& workers,
                     const std::map<std::string, uint32_t>& zones, const std::string& only_zone,
                     bool only_cached);
  // Gang jobs (placement/gang_placer.cc).
  bool gang_broken(const model::Job& job) const;
  void stop_gang(const model::Job& job);
  std::optional<uint64_t> next_gang_attempt(const model::Job& job) const;
  std::vector<placement::GangOption> gang_options(const model::Job& job,
                                                  const std::vector<Worker*>& workers);
  std::map<int, double> gang_tasks_left(const model::JobSpec& s);
  void place_gang(const Candidate& c, const std::vector<Worker*>& workers);
  void make_room_for_gang(const model::Job& job, const std::vector<Worker*>& workers);
  void keep_gang_whole(const model::Job& job, const model::ShardId& id, ShardWork& work,
                       std::vector<model::TaskState>& tasks);
  double reserve(const model::JobSpec& s, const Room& r) const;
  double due_time(const model::Job& job) const;

  runtime::Context& ctx_;
  store::Replica& replica_;
  store::Client& client_;
  store::Committer& committer_;
  const membership::Cancellations& cancellations_;
  std::unordered_map<std::string, Worker> workers_;
  std::unordered_map<std::string, std::string> addresses_;
  std::vector<wire::Address> fresh_addresses_;
  changes::OwnedPartitions owned_;
  std::map<model::ShardId, ShardWork> work_;
  std::set<std::pair<Rank, model::ShardId>> queue_;
  std::set<model::ShardId> routed_;
  uint64_t routed_term_ = 0;
  std::set<std::string> drain_;
  std::map<std::string, ZoneCheck> zone_checks_;
  std::unordered_map<std::string, JobTrouble> troubles_;
  std::map<model::TaskRef, uint64_t> evicted_;  // attempt being stopped to make room or to drain
  std::map<std::pair<int, std::string>, std::pair<double, double>> quota_use_;
  std::map<std::pair<int, std::string>, model::QuotaShare>
      shares_;  // worked out anew with each pass
  quota::QuotaTransfers transfers_;
  std::vector<wire::QuotaTransfer> asked_transfers_;
  std::vector<std::string> attention_;
  std::optional<wire::UnassignedMachine> unassigned_machine_;
  std::map<int, Unmet> unmet_;
  std::unordered_map<const Worker*, Unmet> promised_;   // of what is being made free, in a pass
  std::unordered_map<const Worker*, Unmet> set_aside_;  // of what is free, for gangs, in a pass
  double cheapest_ = 1;
  int evictions_ = 0;
  double stops_left_ = 0, stops_at_ = 0;  // that arrays may make room with, and when that was
  int in_flight_ = 0;
  int sends_ = 0, probes_ = 0;  // commands and probes under way
  double backoff_until_ = 0, next_place_ = 0;
  double next_fallback_ = 0;
  double last_answer_ = -1e9, next_test_ = 0;  // of any machine; when some are asked again
  size_t turn_ = 0;                            // of the views and addresses that are told again
  bool all_unreachable_ = false;               // no zone answered this node when it asked
  bool suspects_itself_ = false, placement_requested_ = false;
};

}  // namespace rooksill::partition
