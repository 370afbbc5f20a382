#include "rooksill/partition/partition_owner.h"

#include <algorithm>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/partition/machine_status.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/quota/quota_shares.h"
#include "rooksill/runtime/socket_budget.h"

namespace rooksill::partition {

using changes::TaskChange;

namespace {
constexpr double kEntitled = 0.95;  // part of the time by which a cancellation outlasts a lease
constexpr double kCommandReports = 0.5;  // patience with a direct command, in reports
constexpr int kSuspectJob = 3;           // machines a job must fail on to be suspected itself
constexpr int kSuspectMachine = 3;       // failures in a row that make a machine suspect
constexpr double kMaxBackoffReports = 10;
constexpr size_t kMaxCommands = 64;  // in one command
}  // namespace

PartitionOwner::PartitionOwner(runtime::Context& ctx, store::Replica& replica,
                               store::Client& client, store::Committer& committer,
                               const membership::Cancellations& cancellations)
    : ctx_(ctx),
      replica_(replica),
      client_(client),
      cancellations_(cancellations),
      owned_(replica),
      workers_(ctx, replica),
      failure_detector_(ctx, replica, workers_,
                        [this](agent::Worker& worker, const wire::WorkerHeartbeat& heartbeat) {
                          accept_heartbeat(worker, heartbeat);
                        }),
      changes_(ctx, replica, client, committer, owned_, *this),
      routed_(ctx, replica, owned_),
      transfers_(ctx, replica, committer),
      quota_usage_(ctx.settings, replica, transfers_),
      capacities_(replica, evicted_, quota_usage_) {}

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
  workers_.remove_partition(partition,
                            [this](agent::Worker& worker) { capacities_.forget(worker); });
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
        capacities_.forget(*worker);
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
  evicted_.forget_if([&](const model::TaskRef& ref, uint64_t attempt) {
    const model::TaskState* task = replica_.task(ref);
    return task == nullptr || task->machine.empty() || task->attempt != attempt;
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
    if (changes_.pending(t.task)) continue;
    const model::Job* job = replica_.job(t.task.job);
    if (t.phase == wire::TaskPhase::kExited) {
      if (t.cause == wire::ExitCause::kDone) {
        w.failures.consecutive = 0;
        w.failures.jobs.clear();
        changes_.add(t.task, TaskChange::done(w.name, w.partition, t.attempt));
      } else if (sure) {
        lost(w, t);
      }
      continue;
    }
    if (t.phase == wire::TaskPhase::kRunning) w.running_since.emplace(t.task, ctx_.now.steady);
    if (auto o = command_for(w, t, *job)) command(std::move(*o));
  }
  for (const auto& ref : replica_.placed_on(w.name)) {
    if (matched.count(ref) != 0 || changes_.pending(ref)) continue;
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
  if (evicted_.contains(t.task, t.attempt)) return saving;
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
  changes_.add(ref, TaskChange::lost(w.name, w.partition, attempt));
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
  changes_.add(t.task, TaskChange::lost(w.name, w.partition, t.attempt));
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

void PartitionOwner::on_change_added(const model::TaskRef& task, const TaskChange& change) {
  agent::Worker* worker = workers_.find(change.machine.name);
  if (worker == nullptr) return;
  worker->capacity_stale = worker->status_changed = true;
  if (change.kind == TaskChange::Kind::kPlaced) worker->pending_placements.insert(task);
}

void PartitionOwner::on_change_removed(const model::TaskRef& task, const TaskChange& change) {
  agent::Worker* worker = workers_.find(change.machine.name);
  if (worker == nullptr) return;
  worker->pending_placements.erase(task);
  workers_.mark_changed(*worker);
  placement_requested_ = true;
}

bool PartitionOwner::terminating(const std::string& machine) const {
  const agent::Worker* worker = workers_.find(machine);
  return worker != nullptr && worker->terminates_at.has_value();
}

// ---- gangs ----

// Whether a task of the attempt that the state has is gone, or known here to be.
bool PartitionOwner::gang_broken(const model::Job& job) const {
  for (uint32_t c = 0; c < job.shards.size(); ++c) {
    const model::TaskShard& shard = job.shards[c];
    const changes::ShardChanges* pending = changes_.find_shard({job.spec.id, c});
    for (uint32_t i = 0; i < shard.tasks.size(); ++i) {
      const model::TaskState& t = shard.tasks[i];
      if (t.done) continue;
      if (t.machine.empty()) return true;
      if (replica_.machine_gone(t.machine) && replica_.lists_cover(shard)) return true;
      if (pending == nullptr) continue;
      const TaskChange* change = pending->find(i);
      if (change != nullptr && change->kind == TaskChange::Kind::kLost) return true;
    }
  }
  return false;
}

// Tells all of a gang's tasks on the machines held here to stop and save, at once: those that are
// told later than `gang_peer_s` after the first save nothing.
void PartitionOwner::stop_gang(const model::Job& job) {
  for (const auto& shard : job.shards)
    for (uint32_t i = 0; i < shard.tasks.size(); ++i) {
      const model::TaskState& t = shard.tasks[i];
      agent::Worker* w = workers_.find(t.machine);
      if (t.machine.empty() || w == nullptr) continue;
      const uint32_t first =
          static_cast<uint32_t>(&shard - job.shards.data()) * job.tasks_per_shard;
      if (!evicted_.evict({job.spec.id, first + i}, t.attempt)) continue;
      workers_.mark_changed(*w);
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

void PartitionOwner::routes(const wire::RoutingUpdate& update) {
  if (!routed_.current(update)) return;
  routed_.apply(update);
  if (update.full) workers_.clear_draining();
  workers_.drain(update.drain);
  asked_transfers_.insert(asked_transfers_.end(), update.transfers.begin(), update.transfers.end());
  for (const wire::TaskMove& move : update.moves) evict(move);
  placement_requested_ = true;
}

// Stops a task that is to run elsewhere, unless it left its machine in the meantime.
void PartitionOwner::evict(const wire::TaskMove& move) {
  const model::TaskRef task{move.job, move.index};
  const model::TaskState* state = replica_.task(task);
  if (state == nullptr || state->attempt != move.attempt) return;
  agent::Worker* worker = workers_.find(state->machine);
  if (worker == nullptr) return;
  evicted_.evict(task, move.attempt);
  workers_.mark_changed(*worker);
}

// Called once all machines of the partitions held are known here: what a share's owner uses has to
// be complete before a part of the share is passed on.
void PartitionOwner::transfer_quotas() {
  quota_usage_.refresh_shares();
  transfers_.tick(
      [this](int partition, model::Revision lease) { return owned_.owns_under(partition, lease); });
  for (const auto& t : std::exchange(asked_transfers_, {})) {
    if (!owns(t.from)) continue;
    for (auto& [name, w] : workers_) capacities_.capacity(w);
    const model::QuotaShare share = quota::quota_share(ctx_.settings, replica_, t.team, t.from);
    transfers_.start(t, quota_usage_.unused(share, t.team, t.from));
  }
}

std::vector<wire::QuotaUse> PartitionOwner::quota_use() const {
  return quota_usage_.report([this](int partition) { return owns(partition); });
}

void PartitionOwner::route_without_leader() {
  if (routed_.route_without_leader() && !routed_.empty()) placement_requested_ = true;
}

std::string PartitionOwner::summary() {
  MachineSummary machines;
  for (auto& [name, worker] : workers_) {
    const placement::MachineCapacity& capacity = capacities_.capacity(worker);
    machines.add(worker, capacity, open(worker), replica_.placed_on(name).size());
  }
  return fmt::format("{}; shards routed here: {}", machines.text(), routed_.size());
}

wire::MachineStatus PartitionOwner::status_of(agent::Worker& worker) {
  const placement::MachineCapacity& capacity = capacities_.capacity(worker);
  const MachineAvailability availability{workers_.draining(worker.name), open(worker)};
  return machine_status(worker, capacity, availability, replica_);
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
