#include "rooksill/partition/partition_owner.h"

#include <algorithm>
#include <iterator>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/value_sizes.h"
#include "rooksill/quota/quota_shares.h"
#include "rooksill/routing/fallback_routing.h"
#include "rooksill/runtime/socket_budget.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::partition {

using changes::TaskChange;

namespace {
constexpr int kMaxInFlight = 2;
constexpr double kBackoff = 0.15;   // after the state refused
constexpr double kEntitled = 0.95;  // part of the time by which a cancellation outlasts a lease
constexpr double kCommandReports = 0.5;  // patience with a direct command, in reports
constexpr int kSuspectJob = 3;           // machines a job must fail on to be suspected itself
constexpr int kSuspectMachine = 3;       // failures in a row that make a machine suspect
constexpr double kMaxBackoffReports = 10;
constexpr size_t kMaxCommands = 64;  // in one command
constexpr double kDeferReports = 3;  // results that complete nothing are gathered for so long
constexpr size_t kGroupBytes =
    size_t{40} * 1024;             // of a transaction, well below the protocol's most
constexpr double kTxnShare = 0.6;  // part of a second's writes that one transaction may take
// Parts of the writes left to others: by decisions to results, by gathered results to both.
constexpr double kDecisionReserve = 0.1, kDeferredReserve = 0.4;
constexpr double kDecidedAhead = 0.25;  // s of writes that decisions may wait for
constexpr int kFirstDecision = 1;       // rank of decisions of the highest priority
constexpr int kDeferred = 5;            // rank of results that complete nothing
}  // namespace

PartitionOwner::PartitionOwner(runtime::Context& ctx, store::Replica& replica,
                               store::Client& client, store::Committer& committer,
                               const membership::Cancellations& cancellations)
    : ctx_(ctx),
      replica_(replica),
      client_(client),
      committer_(committer),
      cancellations_(cancellations),
      owned_(replica),
      workers_(ctx, replica),
      failure_detector_(ctx, replica, workers_,
                        [this](agent::Worker& worker, const wire::WorkerHeartbeat& heartbeat) {
                          accept_heartbeat(worker, heartbeat);
                        }),
      transfers_(ctx, replica, committer) {}

bool PartitionOwner::backing_off(const std::string& job) const {
  auto it = troubles_.find(job);
  return it != troubles_.end() && it->second.retry_at > ctx_.now.steady;
}

std::optional<wire::UnassignedMachine> PartitionOwner::take_unassigned_machine() {
  return std::exchange(unassigned_machine_, {});
}

// ---- leases --------------------------------------------------------------------------------

void PartitionOwner::activate(int partition) {
  const model::PartitionLease& lease = replica_.leases[static_cast<size_t>(partition)];
  owned_.acquire(partition);
  ctx_.info("holder", "partition {} taken, token {}", partition,
            model::number(lease.fencing_token));
  drop_workers(partition);
  for (const auto& page : replica_.pages[static_cast<size_t>(partition)])
    replica_.touched_machines.insert(page.names.begin(), page.names.end());
}

void PartitionOwner::drop_workers(int partition) {
  workers_.remove_partition(partition, [this](agent::Worker& worker) { forget_room(worker); });
}

void PartitionOwner::tick() {
  const auto& label = ctx_.settings.platform.label;
  for (int b = 0; b < static_cast<int>(replica_.leases.size()); ++b) {
    const model::PartitionLease& lease = replica_.leases[static_cast<size_t>(b)];
    const bool mine = lease.owner == label && lease.incarnation == ctx_.incarnation;
    // Whatever the former owner wrote has a lower revision than the lease; it must be known
    // here before a worker's tasks are judged.
    if (mine && !owns(b) && replica_.synced_revision >= lease.revision) {
      activate(b);
    } else if (owned_.acquired(b) && !owns(b)) {
      ctx_.info("holder", "block {} given up, now with {}", b, lease.owner);
      owned_.release(b);
      drop_workers(b);
    }
  }
}

// What a batch changed in the store concerns the machines that it names, and no others.
void PartitionOwner::apply_store_changes() {
  for (const auto& name : replica_.touched_machines) {
    const model::Machine* machine = replica_.machine(name);
    if (agent::Worker* worker = workers_.find(name)) {
      if (machine != nullptr) {
        workers_.mark_changed(*worker);
      } else {
        forget_room(*worker);
        workers_.remove(name);
      }
    } else if (machine == nullptr) {
      workers_.forget_address(name);
    } else if (owns(machine->partition)) {
      workers_.add(name, machine->partition);
    }
  }
}

void PartitionOwner::check_timeouts() {
  failure_detector_.check();
  std::erase_if(evicted_, [&](const auto& e) {
    const model::TaskState* t = replica_.task(e.first);
    return t == nullptr || t->machine.empty() || t->attempt != e.second;
  });
  if (!routed_.empty()) placement_requested_ = true;
}

// ---- reports -------------------------------------------------------------------------------

// An answer lets a worker's tasks live for another lease. A job may have been cancelled since this
// node last knew of all cancellations, and its tasks have to be gone within `cancel_s` then. That
// nobody can cancel anything now, since the store is away for all, says nothing of what
// another controller confirmed just before.
bool PartitionOwner::entitled() const {
  const auto& p = ctx_.settings.platform;
  return ctx_.now.steady - cancellations_.known_at() < kEntitled * (p.cancel_s - p.lease_s);
}

void PartitionOwner::report(uint64_t request, const std::string& body) {
  auto r = wire::parse_heartbeat(body);
  if (!r) return ctx_.reply(request, 400, "{}");
  if (!replica_.synced) return ctx_.reply(request, 503, "{}", 1);
  const model::Machine* m = replica_.machine(r->machine);
  const auto& p = ctx_.settings.platform;
  record_address(r->machine, r->address);
  if (m == nullptr) {
    unassigned_machine_ =
        wire::UnassignedMachine{r->machine, r->address, r->type, r->zone, r->spot};
    const bool lead = replica_.leader.label == p.label;
    return ctx_.reply(request, 421, wire::encode_redirect(lead ? "" : replica_.leader.label));
  }
  agent::Worker* it = workers_.find(r->machine);
  if (!owns(m->partition) || it == nullptr) {
    const model::PartitionLease& lease = replica_.leases[static_cast<size_t>(m->partition)];
    if (lease.owner == p.label) return ctx_.reply(request, 503, "{}", 1);
    return ctx_.reply(request, 421, wire::encode_redirect(lease.owner));
  }
  if (!entitled()) return ctx_.reply(request, 503, "{}", 1);
  agent::Worker& w = *it;
  // A higher token than ours: somebody else is entitled. A 200 would burn the worker's lease.
  if (r->fencing_token > w.tokens.current) {
    ctx_.info("holder", "machine {} has token {} above ours {}", w.name,
              model::number(r->fencing_token), model::number(w.tokens.current));
    return ctx_.reply(request, 421, "{}");
  }
  ctx_.count("reports");
  w.address = r->address;
  if (!w.reported || agent::version_of(*r) > w.version) w.contact.last_report = ctx_.now.steady;
  accept_heartbeat(w, *r);
  w.contact.lease_ends_at = ctx_.now.steady + ctx_.settings.platform.lease_s;
  std::vector<wire::WorkerCommand> commands;
  reconcile(w, &commands);
  // Starts go out as direct commands only: an answer that arrives late could start what has been
  // moved since.
  // What is left for a command of its own are starts.
  w.answered_in_full = std::erase_if(commands, [](const wire::WorkerCommand& o) {
                         return o.op == wire::WorkerCommand::Op::kStart;
                       }) == 0;
  ctx_.reply(request, 200, wire::encode_answer(w.tokens.current, commands));
}

void PartitionOwner::accept_heartbeat(agent::Worker& w, const wire::WorkerHeartbeat& r) {
  // Late copies of older reports carry older task lists.
  if (w.reported && agent::version_of(r) <= w.version) return;
  if (!w.reported || r.agent_epoch != w.version.agent_epoch)
    ctx_.info("holder", "machine {} reports: session {} token {} tasks {}", w.name, r.agent_epoch,
              model::number(r.fencing_token), r.tasks.size());
  w.reported = true;
  w.version = agent::version_of(r);
  w.tokens.seen = r.fencing_token;
  failure_detector_.record_contact(w);
  w.tasks = r.tasks;
  if (r.termination_notice_s && !w.terminates_at) {
    w.terminates_at = ctx_.now.steady + *r.termination_notice_s;
    ctx_.info("holder", "machine {} will be taken in {:.1f} s", w.name, *r.termination_notice_s);
  }
  record_images(w);
  workers_.mark_changed(w);
  placement_requested_ = true;
}

void PartitionOwner::record_images(agent::Worker& w) {
  const model::Machine* m = replica_.machine(w.name);
  for (const auto& t : w.tasks) {
    if (t.phase != wire::TaskPhase::kRunning && t.phase != wire::TaskPhase::kWaitingForGang)
      continue;
    const model::Job* j = replica_.job(t.task.job);
    if (j == nullptr) continue;
    w.images.touch(j->image, j->spec.image_gb);
  }
  auto type = m != nullptr ? replica_.types.find(m->type) : replica_.types.end();
  if (type == replica_.types.end()) return;
  w.images.shrink_to(type->second.cache_gb);
}

// A worker's word that a task is absent or ended counts only if no command from before can still
// reach it: it has to have seen a higher token than the last unacknowledged command's.
bool PartitionOwner::trusted(const agent::Worker& w) const {
  return w.reported && w.tokens.earlier_commands_fenced();
}

// Compares what a worker reported with what the state says, and derives what follows.
void PartitionOwner::reconcile(agent::Worker& w, std::vector<wire::WorkerCommand>* commands) {
  if (!w.reported || !owns(w.partition)) return;
  const bool sure = trusted(w);
  std::set<model::TaskRef> matched;
  auto command = [&](wire::WorkerCommand o) {
    if (commands != nullptr) commands->push_back(std::move(o));
  };
  for (const auto& t : w.tasks) {
    const model::TaskState* s = replica_.task(t.task);
    const bool ours = s != nullptr && !s->done && s->machine == w.name && s->attempt == t.attempt;
    if (!ours) {
      if (t.phase == wire::TaskPhase::kExited) {
        if (sure) command({wire::WorkerCommand::Op::kRemove, t.task, t.attempt, 0});
      } else {
        command({wire::WorkerCommand::Op::kStop, t.task, t.attempt, 0});
      }
      continue;
    }
    matched.insert(t.task);
    if (changing(t.task)) continue;
    const model::Job* job = replica_.job(t.task.job);
    if (t.phase == wire::TaskPhase::kExited) {
      if (t.cause == wire::ExitCause::kDone) {
        w.failures.consecutive = 0;
        w.failures.jobs.clear();
        change(t.task, TaskChange::done(w.name, w.partition, t.attempt));
      } else if (sure) {
        lost(w, t);
      }
      continue;
    }
    if (t.phase == wire::TaskPhase::kRunning) w.running_since.emplace(t.task, ctx_.now.steady);
    if (auto o = command_for(w, t, *job)) command(std::move(*o));
  }
  for (const auto& ref : replica_.placed_on(w.name)) {
    if (matched.count(ref) != 0 || changing(ref)) continue;
    if (auto o = command_for_unreported(w, ref, *replica_.job(ref.job), sure))
      command(std::move(*o));
  }
  if (w.running_since.size() > 4 * (w.tasks.size() + 16))
    std::erase_if(w.running_since, [&](const auto& r) { return matched.count(r.first) == 0; });
}

// What a task that is on its machine, as the state has it, is to be told.
std::optional<wire::WorkerCommand> PartitionOwner::command_for(agent::Worker& w,
                                                               const wire::ReportedTask& t,
                                                               const model::Job& job) {
  const wire::WorkerCommand at_once{wire::WorkerCommand::Op::kStop, t.task, t.attempt, 0};
  const wire::WorkerCommand saving{wire::WorkerCommand::Op::kStop, t.task, t.attempt,
                                   job.spec.save_s};
  if (job.over()) return at_once;
  if (t.phase == wire::TaskPhase::kSaving) return std::nullopt;
  auto e = evicted_.find(t.task);
  if (e != evicted_.end() && e->second == t.attempt) return saving;
  const bool gang = job.spec.shape == model::Shape::kGang;
  // Without one of them the others cannot go on; where they waited for one another they would wait
  // in vain. The next attempt needs all of them gone.
  if (gang && gang_broken(job)) return at_once;
  if (!w.terminates_at || ends_in_time(w, t, job)) return std::nullopt;
  if (gang) stop_gang(job);
  return saving;
}

// What the state has on a machine and the machine does not report. What was never started here, or
// went with the machine's agent epoch, is started (again) where the state has it: its image is
// there, and nothing has to be written. After a cut that outlasts the lease that is true of
// hundreds of machines at once. A machine that is to go is no place for it, nor one where its
// team's share has been given to others since it ended here unwritten. Nor can a gang's task come
// back to an attempt that has run, or that has lost another task.
std::optional<wire::WorkerCommand> PartitionOwner::command_for_unreported(agent::Worker& w,
                                                                          const model::TaskRef& ref,
                                                                          const model::Job& job,
                                                                          bool sure) {
  const uint64_t attempt = replica_.task(ref)->attempt;
  const bool attempt_over = job.spec.shape == model::Shape::kGang &&
                            (w.running_since.count(ref) != 0 || gang_broken(job));
  const bool lost = job.over() || w.terminates_at || w.failures.faulty ||
                    workers_.draining(w.name) || attempt_over || exceeds_quota(job.spec.team, w);
  if (!lost) return wire::WorkerCommand{wire::WorkerCommand::Op::kStart, ref, attempt, 0};
  if (!sure) return std::nullopt;
  w.running_since.erase(ref);
  change(ref, TaskChange::lost(w.name, w.partition, attempt));
  return std::nullopt;
}

// Whether a task on a machine that will be taken is likely to complete before. What is not starts
// elsewhere at once, instead of when the machine has gone.
bool PartitionOwner::ends_in_time(const agent::Worker& w, const wire::ReportedTask& t,
                                  const model::Job& job) const {
  const model::JobSpec& s = job.spec;
  if (s.shape == model::Shape::kService) return false;
  const double left = *w.terminates_at - ctx_.now.steady - s.save_s;
  if (t.phase != wire::TaskPhase::kRunning) return s.estimate_s < left;
  auto since = w.running_since.find(t.task);
  const double ran = since == w.running_since.end() ? 0 : ctx_.now.steady - since->second;
  return s.estimate_s - ran < left;
}

void PartitionOwner::lost(agent::Worker& w, const wire::ReportedTask& t) {
  ctx_.debug("holder", "task {} attempt {} ended on {}: cause {}", wire::task_name(t.task),
             t.attempt, w.name, static_cast<int>(t.cause));
  if (t.cause == wire::ExitCause::kError) {
    record_failure(w, t.task.job, t.attempt);
  } else if (t.cause != wire::ExitCause::kStopped && t.cause != wire::ExitCause::kGangMemberLost &&
             t.cause != wire::ExitCause::kGangIncomplete) {
    w.failures.avoid_until = ctx_.now.steady + ctx_.settings.platform.report_s / 3;
  }
  w.running_since.erase(t.task);
  change(t.task, TaskChange::lost(w.name, w.partition, t.attempt));
}

// A machine on which task after task fails is returned; a job that fails on machine after machine
// backs off by itself and is not held against them.
void PartitionOwner::record_failure(agent::Worker& w, const std::string& job, uint64_t attempt) {
  JobTrouble& trouble = troubles_[job];
  trouble.machines.insert(w.name);
  // Attempts are counted in the state: they show what failed under other owners.
  trouble.failures =
      std::max(trouble.failures + 1, static_cast<int>(std::min<uint64_t>(attempt, 1000)));
  const double report = ctx_.settings.platform.report_s;
  if (static_cast<int>(trouble.machines.size()) >= kSuspectJob ||
      attempt >= uint64_t{2} * kSuspectJob) {
    const double wait = std::min(kMaxBackoffReports, 0.5 * trouble.failures) * report;
    trouble.retry_at = ctx_.now.steady + wait;
    ctx_.info("holder", "job {} failed on {} machines: next try in {:.1f} s", job,
              trouble.machines.size(), wait);
    for (auto& [name, other] : workers_) {
      if (other.failures.jobs.erase(job) == 0) continue;
      other.failures.consecutive = std::max(0, other.failures.consecutive - 1);
    }
    return;
  }
  ++w.failures.consecutive;
  w.failures.jobs.insert(job);
  w.failures.avoid_until = ctx_.now.steady + report * w.failures.consecutive;
  if (!w.failures.faulty && w.failures.consecutive >= kSuspectMachine &&
      w.failures.jobs.size() >= 2) {
    w.failures.faulty = true;
    ctx_.info("holder", "machine {} fails task after task: to be returned", w.name);
  }
}

// ---- changes of state ----------------------------------------------------------------------

const TaskChange* PartitionOwner::change_of(const model::TaskRef& task) const {
  const model::Job* job = replica_.job(task.job);
  if (job == nullptr) return nullptr;
  auto it = work_.find({task.job, task.index / job->tasks_per_shard});
  if (it == work_.end()) return nullptr;
  return change_in(it->second, task.index % job->tasks_per_shard);
}

const TaskChange* PartitionOwner::change_in(const ShardWork& work, uint32_t index) {
  for (const auto* changes : {&work.sent, &work.waiting})
    if (auto c = changes->find(index); c != changes->end()) return &c->second;
  return nullptr;
}

void PartitionOwner::change(const model::TaskRef& task, TaskChange c) {
  const model::Job* job = replica_.job(task.job);
  if (job == nullptr) return;
  agent::Worker* w = workers_.find(c.machine.name);
  if (w != nullptr) {
    w->room_stale = w->status_changed = true;
    if (c.kind == TaskChange::Kind::kPlaced) w->pending_placements.insert(task);
  }
  c.machine.lease = replica_.leases[static_cast<size_t>(c.machine.partition)].revision;
  if (c.kind == TaskChange::Kind::kPlaced) c.basis = basis(*job, c.machine.partition);
  const model::ShardId id{task.job, task.index / job->tasks_per_shard};
  ShardWork& work = work_[id];
  if (work.waiting.empty()) work.since = ctx_.now.steady;
  const uint32_t index = task.index % job->tasks_per_shard;
  // A task that has ended somewhere and found another place already: one change says both.
  auto before = work.waiting.find(index);
  if (c.kind == TaskChange::Kind::kPlaced && before != work.waiting.end() &&
      before->second.kind == TaskChange::Kind::kLost) {
    c.replaces = before->second.machine;
    work.waiting.erase(before);
  }
  work.waiting.insert({index, std::move(c)});
  if (!work.busy) queue(id, work);
}

// A change that is not to be written any more, or has been.
void PartitionOwner::drop_change(const model::ShardId& id, uint32_t index, const TaskChange& c) {
  agent::Worker* w = workers_.find(c.machine.name);
  if (w == nullptr) return;
  const model::Job* job = replica_.job(id.job);
  if (job != nullptr)
    w->pending_placements.erase({id.job, id.index * job->tasks_per_shard + index});
  workers_.mark_changed(*w);
  placement_requested_ = true;
}

// Whether this owner's machines still have tasks of the shard whose results may be gathered with
// those that wait. Other owners may have some too, and know as little of ours: a job whose tasks
// have all ended must not wait for writes to spare at each of them.
bool PartitionOwner::more_to_come(const model::Job& job, uint32_t shard,
                                  const ShardWork& work) const {
  const auto& tasks = job.shards[shard].tasks;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i].done || tasks[i].machine.empty() || change_in(work, i) != nullptr) continue;
    const model::Machine* m = replica_.machine(tasks[i].machine);
    if (m != nullptr && owns(m->partition)) return true;
  }
  return false;
}

// A gang's place holds room on many machines until it is written, and all of its tasks wait for it:
// it goes with the first, as a replica's does.
int PartitionOwner::decision_rank(const model::JobSpec& s) {
  if (s.shape == model::Shape::kGang) return kFirstDecision;
  return kFirstDecision + static_cast<int>(model::Priority::kProd) - static_cast<int>(s.priority);
}

// A place that is decided and waits for its write is kept from everybody. Where writes are few, no
// more is decided than can be written soon: what has more right then finds the room, and each write
// takes all that has come free by then. A shard that waits for its write may take more at no cost.
bool PartitionOwner::may_decide(const Candidate& c) const {
  if (c.job->spec.shape == model::Shape::kService) return true;  // few, and at once
  if (auto own = work_.find({c.job->spec.id, c.shard}); own != work_.end() && own->second.queued)
    return true;
  const auto most = static_cast<size_t>(std::max(2.0, kDecidedAhead * client_.writes_per_s()));
  size_t ahead = 0;
  for (const auto& [rank, id] : queue_) {
    if (rank.first > decision_rank(c.job->spec)) break;
    if (++ahead >= most) return false;
  }
  return true;
}

void PartitionOwner::queue(const model::ShardId& id, ShardWork& work) {
  unqueue(id, work);
  const model::Job* job = replica_.job(id.job);
  if (job == nullptr || work.waiting.empty()) return;
  uint32_t done = job->done;
  bool decided = false, leaving = false;
  for (const auto& [i, c] : work.waiting) {
    if (c.kind == TaskChange::Kind::kDone)
      done += job->spec.shape == model::Shape::kGang ? job->spec.tasks : 1;
    decided = decided || c.kind != TaskChange::Kind::kDone;
    // The result would be lost with the machine.
    agent::Worker* w = workers_.find(c.machine.name);
    leaving = leaving || (w != nullptr && w->terminates_at);
  }
  int rank = kDeferred;
  if (leaving || done >= job->spec.tasks)
    rank = 0;
  else if (decided || !more_to_come(*job, id.index, work))
    rank = decision_rank(job->spec);
  work.queued = Rank{rank, work.since};
  queue_.insert({*work.queued, id});
}

void PartitionOwner::unqueue(const model::ShardId& id, ShardWork& work) {
  if (work.queued) queue_.erase({*work.queued, id});
  work.queued.reset();
}

// The revisions that a placement depends on: its partition's lease and, where a job's tasks depend
// on each other's places, all its shards. The transaction guards what is known when it is sent;
// without this, a decision made on older knowledge would go out under newer guards.
model::Revision PartitionOwner::basis(const model::Job& job, int partition) const {
  model::Revision newest = replica_.leases[static_cast<size_t>(partition)].revision;
  if (job.spec.spread || job.spec.one_zone)
    for (const auto& c : job.shards) newest = std::max(newest, c.revision);
  return newest;
}

// A change is worth what its owner knew. Once the partition was with another in between, that one
// may have started a lost task in place, which changes nothing in the state: so each lease that a
// change rests on has to be the one it was decided under, that of the machine left as well.
bool PartitionOwner::apply_change(const model::Job& job, const model::TaskShard& shard,
                                  model::TaskState& s, const TaskChange& c) const {
  if (!owned_.owns_under(c.machine.partition, c.machine.lease)) return false;
  if (c.kind == TaskChange::Kind::kPlaced) {
    if (c.replaces && !owned_.owns_under(c.replaces->partition, c.replaces->lease)) return false;
    const bool reported_gone = c.replaces && !s.done && s.machine == c.replaces->name;
    const bool gang =
        job.spec.shape == model::Shape::kGang;  // whose tasks share an attempt's number
    if (gang ? s.attempt >= c.attempt : s.attempt + 1 != c.attempt) return false;
    if (job.over() || (!reported_gone && !replica_.waits(s))) return false;
    if (replica_.machine_gone(c.machine.name) || c.basis != basis(job, c.machine.partition))
      return false;
    // Taken from a machine that is in no list: only if the lists are known as far as this shard.
    // With older lists, a machine just dealt would look gone.
    if (!s.machine.empty() && !reported_gone && !replica_.lists_cover(shard)) return false;
    s.machine = c.machine.name;
    s.attempt = c.attempt;
    return true;
  }
  if (s.done || s.machine != c.machine.name || s.attempt != c.attempt) return false;
  s.machine.clear();
  s.done = c.kind == TaskChange::Kind::kDone;
  return true;
}

// All tasks of an attempt are placed by one change, or none is; and all are done when one is.
void PartitionOwner::keep_gang_whole(const model::Job& job, const model::ShardId& id,
                                     ShardWork& work, std::vector<model::TaskState>& tasks) {
  if (std::any_of(tasks.begin(), tasks.end(), [](const model::TaskState& t) { return t.done; })) {
    for (auto& t : tasks) {
      t.machine.clear();
      t.done = true;
    }
    return;
  }
  const auto is_place = [](const auto& c) { return c.second.kind == TaskChange::Kind::kPlaced; };
  const auto places = std::count_if(work.waiting.begin(), work.waiting.end(), is_place);
  const bool whole = static_cast<size_t>(places) == tasks.size() &&
                     std::all_of(tasks.begin(), tasks.end(), [&](const model::TaskState& t) {
                       return t.attempt == tasks.front().attempt;
                     });
  if (whole) return;
  for (auto c = work.waiting.begin(); c != work.waiting.end();) {
    if (is_place(*c))
      c = drop_waiting(job, id, work, c, tasks);
    else
      ++c;
  }
}

void PartitionOwner::flush() {
  for (int i = in_flight_; i < kMaxInFlight; ++i) {
    const int before = in_flight_;
    flush_group();
    if (in_flight_ == before) break;
  }
}

// What a shard's waiting changes come to. Those that are out of date are dropped; false if nothing
// is left to be written.
bool PartitionOwner::apply_waiting(const model::Job& job, const model::ShardId& id, ShardWork& work,
                                   ShardWrite& out) {
  const model::TaskShard& shard = job.shards[id.index];
  out.tasks = shard.tasks;
  for (auto c = work.waiting.begin(); c != work.waiting.end();) {
    if (!apply_change(job, shard, out.tasks[c->first], c->second))
      c = drop_waiting(job, id, work, c, out.tasks);
    else
      ++c;
  }
  if (job.spec.shape == model::Shape::kGang) keep_gang_whole(job, id, work, out.tasks);
  return !work.waiting.empty();
}

// Takes a change back that waits to be written.
PartitionOwner::Changes::iterator PartitionOwner::drop_waiting(
    const model::Job& job, const model::ShardId& id, ShardWork& work, Changes::iterator at,
    std::vector<model::TaskState>& tasks) {
  const auto [index, change] = *at;
  tasks[index] = job.shards[id.index].tasks[index];
  const auto next = work.waiting.erase(at);
  drop_change(id, index, change);
  return next;
}

// Whether the shard's value is one that the store takes, also with the limits to come. With
// names of unusual length places are given up until it is. A value from before the limits were
// lowered may be too large without any: it waits until enough of its tasks have ended.
bool PartitionOwner::fits_value(const model::Job& job, const model::ShardId& id, ShardWork& work,
                                ShardWrite& out) {
  const size_t most = ctx_.settings.platform.state_value_bytes;
  const bool gang = job.spec.shape == model::Shape::kGang;
  out.bytes = out.value.dump().size();
  for (auto c = work.waiting.end(); out.bytes > most; out.bytes = out.value.dump().size()) {
    while (c != work.waiting.begin() && std::prev(c)->second.kind != TaskChange::Kind::kPlaced) --c;
    if (c == work.waiting.begin() || gang) return false;
    c = drop_waiting(job, id, work, std::prev(c), out.tasks);
    out.value = wire::encode_shard(out.tasks);
  }
  return !work.waiting.empty();
}

// The revisions that a shard's changes rest on.
void PartitionOwner::add_preconditions(const model::Job& job, const model::ShardId& id,
                                       const ShardWork& work, ShardWrite& out) const {
  bool places = false;
  for (const auto& [i, c] : work.waiting) {
    places = places || c.kind == TaskChange::Kind::kPlaced;
    out.preconditions[wire::lease_key(c.machine.partition)] = c.machine.lease;
    if (c.replaces) out.preconditions[wire::lease_key(c.replaces->partition)] = c.replaces->lease;
  }
  out.preconditions[wire::shard_key(id.job, id.index)] = job.shards[id.index].revision;
  if (places || out.last) out.preconditions[wire::job_key(id.job)] = job.revision;
  // Where a task may go depends on where the job's others are, in whatever shard.
  if (places && (job.spec.spread || job.spec.one_zone))
    for (uint32_t c = 0; c < job.shards.size(); ++c)
      out.preconditions[wire::shard_key(id.job, c)] = job.shards[c].revision;
}

// Adds a shard's waiting changes to the transaction, as far as they are still of use.
PartitionOwner::Added PartitionOwner::add_to_group(const model::ShardId& id, Group& group) {
  ShardWork& work = work_[id];
  const model::Job* job = replica_.job(id.job);
  ShardWrite write;
  const bool known = job != nullptr && id.index < job->shards.size();
  if (!known)
    for (const auto& [i, c] : std::exchange(work.waiting, {})) drop_change(id, i, c);
  if (!known || !apply_waiting(*job, id, work, write)) {
    unqueue(id, work);
    work_.erase(id);
    return Added::kNothing;
  }
  const model::TaskShard& shard = job->shards[id.index];
  uint32_t done = job->done - shard.done, on_machines = 0;
  for (const auto& t : write.tasks) {
    done += t.done ? 1 : 0;
    on_machines += t.machine.empty() ? 0 : 1;
  }
  const bool finishes = done == job->spec.tasks && !job->over();
  // What a job that is over leaves behind is of no use to anybody.
  write.last = finishes || (job->over() && on_machines == 0);
  if (!write.last) {
    write.value = wire::encode_shard(write.tasks);
    if (!fits_value(*job, id, work, write)) {
      ctx_.count("too_large");
      return Added::kNothing;
    }
  }
  add_preconditions(*job, id, work, write);
  const auto fresh =
      std::count_if(write.preconditions.begin(), write.preconditions.end(),
                    [&](const auto& g) { return group.preconditions.count(g.first) == 0; });
  const size_t most_guards = ctx_.settings.platform.state_txn_ops * 4;
  if (group.preconditions.size() + static_cast<size_t>(fresh) > most_guards &&
      !group.shards.empty())
    return Added::kFull;
  group.preconditions.insert(write.preconditions.begin(), write.preconditions.end());
  group.add({wire::shard_key(id.job, id.index), std::move(write.value), 0}, write.bytes);
  if (finishes) {
    model::Job ended;
    ended.spec.tasks = job->spec.tasks;
    ended.end = model::JobEnd::kDone;
    group.add({wire::job_key(id.job), wire::encode_job(ended), 0},
              0);  // a few bytes, as those around it
  }
  unqueue(id, work);
  for (const auto& [i, c] : work.waiting)
    ctx_.count(c.kind == TaskChange::Kind::kPlaced ? "tasks_placed"
               : c.kind == TaskChange::Kind::kLost ? "tasks_lost"
                                                   : "tasks_done");
  work.sent = std::exchange(work.waiting, {});
  work.sent_on = shard.revision;
  work.busy = true;
  group.shards.push_back(id);
  return Added::kShard;
}

void PartitionOwner::Group::add(store::Write write, size_t value_bytes) {
  constexpr size_t kAround = 200;  // bytes of a write besides its value, and of its guards
  keys.push_back(write.key);
  if (value_bytes > 0) bytes += value_bytes + kAround;
  writes.push_back(std::move(write));
}

void PartitionOwner::flush_group() {
  if (in_flight_ >= kMaxInFlight || queue_.empty() || ctx_.now.steady < backoff_until_) return;
  const auto& p = ctx_.settings.platform;
  const size_t most = std::max<size_t>(
      2,
      std::min<size_t>(p.state_txn_ops, static_cast<size_t>(client_.writes_per_s() * kTxnShare)));
  const double gather = kDeferReports * p.report_s;
  Group group;
  auto may_add = [&](int rank) {
    const double reserve = rank == 0 ? 0 : rank < kDeferred ? kDecisionReserve : kDeferredReserve;
    // The next shard may end its job, which is a write more.
    return client_.room_for(static_cast<double>(group.writes.size()) + 2 + client_.kept(), reserve);
  };
  for (auto q = queue_.begin(); q != queue_.end();) {
    const auto [rank, since] = q->first;
    const model::ShardId id = q->second;
    if (!may_add(rank) || group.writes.size() + 2 > most || group.bytes > kGroupBytes) break;
    if (rank == kDeferred && ctx_.now.steady - since < gather) break;
    ++q;
    const Added added = add_to_group(id, group);
    if (added == Added::kFull) break;
    if (added == Added::kShard)
      ctx_.count(rank == 0 ? "results" : rank < kDeferred ? "decisions" : "gathered");
  }
  if (group.shards.empty()) return;
  std::vector<store::Precondition> preconditions;
  preconditions.reserve(group.preconditions.size());
  for (const auto& [k, s] : group.preconditions) preconditions.push_back({k, s});
  bool sent = committer_.commit(
      preconditions, std::move(group.writes),
      [this, shards = group.shards, keys = group.keys](const store::TransactionResult& r) {
        --in_flight_;
        settle(shards, r, keys);
      });
  if (sent)
    ++in_flight_;
  else
    send_again(group.shards);
}

void PartitionOwner::send_again(const std::vector<model::ShardId>& shards) {
  for (const auto& id : shards) {
    ShardWork& work = work_[id];
    // What was decided since stays; what was sent is tried again.
    for (auto& c : work.sent) work.waiting.insert(c);
    work.sent.clear();
    work.busy = false;
    queue(id, work);
  }
}

void PartitionOwner::drop_sent(const std::vector<model::ShardId>& shards) {
  for (const auto& id : shards) {
    auto it = work_.find(id);
    if (it == work_.end()) continue;
    for (const auto& [i, c] : std::exchange(it->second.sent, {})) drop_change(id, i, c);
    it->second.busy = false;
    if (it->second.waiting.empty())
      work_.erase(it);
    else
      queue(id, it->second);
  }
}

// After a transaction without an answer, read back. One whose shard has changed can no longer be
// carried out. Otherwise it may be, seconds from now, and nothing that it says may be taken back
// till then: a place keeps its room and its part of the team's limit, and a task that it writes
// lost is not started over in place. The same is sent again; whichever comes first, the other one
// fails.
void PartitionOwner::resolve(const std::vector<model::ShardId>& shards) {
  for (const auto& id : shards) {
    const model::Job* job = replica_.job(id.job);
    auto work = work_.find(id);
    const bool pending = job != nullptr && work != work_.end() && id.index < job->shards.size() &&
                         job->shards[id.index].revision == work->second.sent_on;
    if (pending)
      send_again({id});
    else
      drop_sent({id});
  }
}

void PartitionOwner::settle(const std::vector<model::ShardId>& shards,
                            const store::TransactionResult& result, std::vector<std::string> keys) {
  switch (result.outcome) {
    case store::TransactionOutcome::kApplied: {
      drop_sent(shards);
      return;
    }
    case store::TransactionOutcome::kRefused:
    case store::TransactionOutcome::kNoLease:
    case store::TransactionOutcome::kTooLarge:
      ctx_.count("refused");
      backoff_until_ = ctx_.now.steady + kBackoff;
      send_again(shards);
      return;
    case store::TransactionOutcome::kConflict:
      ctx_.count("conflicts", static_cast<double>(shards.size()));
      ctx_.debug("holder", "transaction of {} chunks failed on {}", shards.size(),
                 result.failed.empty() ? "" : result.failed.front());
      committer_.refresh(result.failed, [this, shards] {
        // Nothing of what was decided on old knowledge is kept; it is derived anew.
        drop_sent(shards);
      });
      return;
    case store::TransactionOutcome::kUnknown:
      committer_.refresh(std::move(keys), [this, shards] { resolve(shards); });
      return;
  }
}

// ---- commands ------------------------------------------------------------------------------

void PartitionOwner::push() {
  for (const auto& name : workers_.take_changed()) {
    agent::Worker* changed = workers_.claim_changed(name);
    if (changed == nullptr) continue;
    agent::Worker& w = *changed;
    if (w.tokens.in_flight != model::kNoFencingToken)
      continue;  // its answer brings attention again
    if (w.address.empty() || ctx_.now.steady < w.next_command_at ||
        sends_ >= runtime::kCommandSockets * ctx_.settings.platform.max_sockets) {
      workers_.defer(w);
      continue;
    }
    if (!w.reported) {
      // A partition just taken: an empty command shows the worker our token and gets its report.
      send(w, {}, true);
      continue;
    }
    if (std::exchange(w.answered_in_full, false)) continue;
    std::vector<wire::WorkerCommand> commands;
    reconcile(w, &commands);
    if (replica_.synced_at < ctx_.resumed_at || !entitled()) {
      // After a pause, or long without the store, the job may be cancelled and the task
      // elsewhere, for all that is known here; and a worker in a new agent epoch would run it for a
      // lease.
      const auto starts = std::erase_if(commands, [](const wire::WorkerCommand& o) {
        return o.op == wire::WorkerCommand::Op::kStart;
      });
      if (starts > 0) {
        w.next_command_at = ctx_.now.steady + ctx_.settings.platform.report_s / 20;
        workers_.defer(w);
      }
    }
    // Forgetting alone is not urgent: the next answer carries it. Before a start it is, since an
    // older attempt that is still listed would make the worker refuse the new one.
    if (std::none_of(commands.begin(), commands.end(), [](const wire::WorkerCommand& o) {
          return o.op != wire::WorkerCommand::Op::kRemove;
        }))
      continue;
    if (commands.size() > kMaxCommands) commands.resize(kMaxCommands);
    send(w, std::move(commands), false);
  }
}

void PartitionOwner::send(agent::Worker& w, std::vector<wire::WorkerCommand> commands,
                          bool even_if_empty) {
  if (commands.empty() && !even_if_empty) return;
  const double report = ctx_.settings.platform.report_s;
  w.tokens.in_flight = w.tokens.current;
  ++sends_;
  const bool starts = std::any_of(
      commands.begin(), commands.end(),
      [](const wire::WorkerCommand& o) { return o.op == wire::WorkerCommand::Op::kStart; });
  ctx_.debug("holder", "machine {}: {} orders, token {}", w.name, commands.size(),
             model::number(w.tokens.current));
  ctx_.call(runtime::Target::kWorker, w.address, "POST", "/commands",
            wire::encode_commands(w.tokens.current, std::max<uint64_t>(1, w.version.agent_epoch),
                                  commands),
            report * kCommandReports,
            [this, name = w.name, fencing_token = w.tokens.current, starts,
             report](const runtime::CallDone& done) {
              --sends_;
              agent::Worker* it = workers_.find(name);
              if (it == nullptr || it->tokens.in_flight != fencing_token) return;
              agent::Worker& x = *it;
              x.tokens.in_flight = model::kNoFencingToken;
              workers_.mark_changed(x);
              auto r = done.status == 200 || done.status == 409 ? wire::parse_heartbeat(done.body)
                                                                : std::nullopt;
              if (r && r->machine == name) {
                if (done.status == 409) x.next_command_at = ctx_.now.steady + report / 30;
                if (r->fencing_token > x.tokens.current) {
                  ctx_.info("holder", "machine {} has token {} above ours {}", name,
                            model::number(r->fencing_token), model::number(x.tokens.current));
                  x.next_command_at = ctx_.now.steady + report;
                  return;
                }
                accept_heartbeat(x, *r);
                return;
              }
              x.next_command_at = ctx_.now.steady + report / 3;
              // Not acknowledged: it may still run later, unless a higher token gets there first.
              if (starts && !done.refused) {
                x.tokens.unacknowledged = std::max(x.tokens.unacknowledged, fencing_token);
                x.tokens.current = std::max(x.tokens.current, model::next(fencing_token));
                ctx_.debug("holder", "machine {}: command unacknowledged, token now {}", name,
                           model::number(x.tokens.current));
              }
            });
}

void PartitionOwner::routes(const wire::RoutingUpdate& r) {
  if (r.term < routed_term_) return;
  if (r.full) {
    routed_.clear();
    workers_.clear_draining();
  }
  workers_.drain(r.drain);
  routed_term_ = r.term;
  for (const auto& x : r.routes) routed_.insert({x.job, x.shard});
  asked_transfers_.insert(asked_transfers_.end(), r.transfers.begin(), r.transfers.end());
  for (const auto& m : r.moves) {
    const model::TaskRef ref{m.job, m.index};
    const model::TaskState* t = replica_.task(ref);
    if (t == nullptr || t->attempt != m.attempt) continue;
    agent::Worker* w = workers_.find(t->machine);
    if (w == nullptr) continue;
    evicted_[ref] = m.attempt;
    workers_.mark_changed(*w);
  }
  placement_requested_ = true;
}

// Called once all machines of the partitions held are known here: what a share's owner uses has to
// be complete before a part of the share is passed on.
void PartitionOwner::transfer_quotas() {
  shares_.clear();
  transfers_.tick(
      [this](int partition, model::Revision lease) { return owned_.owns_under(partition, lease); });
  for (const auto& t : std::exchange(asked_transfers_, {})) {
    if (!owns(t.from)) continue;
    for (auto& [name, w] : workers_) room_of(w);
    const model::QuotaShare share = quota::quota_share(ctx_.settings, replica_, t.team, t.from);
    const auto& used = quota_use_[{t.from, t.team}];
    transfers_.start(t, {share.cpus - used.first, share.gpus - used.second});
  }
}

std::vector<wire::QuotaUse> PartitionOwner::quota_use() {
  std::vector<wire::QuotaUse> out;
  for (const auto& [at, used] : quota_use_) {
    const auto& [partition, team] = at;
    auto limits = ctx_.settings.platform.teams.find(team);
    if (!owns(partition) || limits == ctx_.settings.platform.teams.end()) continue;
    if (limits->second.cpus_max <= 0 && limits->second.gpus_max <= 0) continue;
    const model::QuotaShare leaving = transfers_.leaving(team, partition);
    out.push_back({partition, team, used.first + leaving.cpus, used.second + leaving.gpus});
  }
  return out;
}

void PartitionOwner::route_without_leader() {
  if (ctx_.now.steady < next_fallback_) return;
  const double report = ctx_.settings.platform.report_s;
  next_fallback_ = ctx_.now.steady + report / 6;
  for (const auto& id : replica_.waiting_jobs) {
    const model::Job& job = *replica_.job(id);
    for (uint32_t c = 0; c < job.shards.size(); ++c) {
      const model::TaskShard& shard = job.shards[c];
      if (shard.done + shard.placed >= shard.tasks.size()) continue;
      if (owns(routing::fallback_partition(ctx_.settings, replica_, job, c, ctx_.now.wall)))
        routed_.insert({id, c});
      else
        routed_.erase({id, c});
    }
  }
  if (!routed_.empty()) placement_requested_ = true;
}

std::string PartitionOwner::summary() {
  size_t reported = 0, taking = 0, sending = 0, placed = 0;
  std::array<size_t, 5> phases{};
  double cpus = 0, free = 0;
  for (auto& [name, w] : workers_) {
    const placement::Room& room = room_of(w);
    reported += w.reported ? 1 : 0;
    sending += w.tokens.in_flight != model::kNoFencingToken ? 1 : 0;
    placed += replica_.placed_on(name).size();
    for (const auto& t : w.tasks) ++phases[static_cast<size_t>(t.phase)];
    if (!open(w)) continue;
    ++taking;
    cpus += room.type->capacity.cpus;
    free += room.cpus;
  }
  return fmt::format(
      "machines: {}, {} heard, {} taking tasks with {:.0f} of {:.0f} cores free, {} sent commands; "
      "tasks: {} placed, reported {} fetching, {} gathering, {} running, {} saving, {} ended; "
      "chunks routed here: {}",
      workers_.size(), reported, taking, free, cpus, sending, placed, phases[0], phases[1],
      phases[2], phases[3], phases[4], routed_.size());
}

wire::MachineStatus PartitionOwner::status_of(agent::Worker& w) {
  const placement::Room& room = room_of(w);
  wire::MachineStatus v;
  v.name = w.name;
  v.up = w.reported;
  v.draining = workers_.draining(w.name);
  v.silent = w.silent;
  v.bad = w.failures.faulty;
  v.termination_notice = w.terminates_at.has_value();
  v.cpus_free = open(w) ? room.cpus : 0;
  if (open(w))
    std::copy(room.cpus_by_priority.begin(), room.cpus_by_priority.end(),
              v.cpus_by_priority.begin());
  v.gpus_free = room.gpus;
  v.memory_free = room.memory;
  v.tasks = room.tasks;
  if (room.type != nullptr && room.type->capacity.cpus > 0) {
    v.load = std::max(
        1 - room.cpus / room.type->capacity.cpus,
        room.type->capacity.memory_gb > 0 ? 1 - room.memory / room.type->capacity.memory_gb : 0);
  }
  for (const auto& entry : w.images.entries()) v.images.push_back(replica_.image_name(entry.image));
  return v;
}

std::vector<wire::MachineStatus> PartitionOwner::take_statuses(bool all) {
  std::vector<wire::MachineStatus> out;
  for (const auto& [worker, turn] : workers_.take_status_due(all)) {
    wire::MachineStatus status = status_of(*worker);
    if (!turn && status == worker->published_status) continue;
    worker->published_status = status;
    out.push_back(std::move(status));
  }
  return out;
}

}  // namespace rooksill::partition
