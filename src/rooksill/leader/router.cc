#include "rooksill/leader/router.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "rooksill/model/machine.h"
#include "rooksill/routing/fallback_routing.h"

namespace rooksill::leader {

namespace {
// How long a shard stays with a partition before a partition is chosen again, in heartbeat
// intervals of the workers (report_s).
constexpr double kRetryHeartbeats = 1;
constexpr double kGangRetryHeartbeats = 0.25;
// How often per heartbeat interval the estimates are refreshed and all routes are sent.
constexpr double kRefreshesPerHeartbeat = 10;
constexpr double kFullSendsPerHeartbeat = 6;
// Each turn routes at least kMinJobsPerTurn pending jobs, and enough of them to cycle through all
// pending jobs in kTurnsPerFullCycle turns.
constexpr size_t kMinJobsPerTurn = 20;
constexpr size_t kTurnsPerFullCycle = 10;
}  // namespace

Router::Router(runtime::Context& context, const store::Replica& replica, membership::Peers& peers,
               partition::PartitionOwner& owner, fleet::Fleet& fleet)
    : context_(context),
      replica_(replica),
      peers_(peers),
      owner_(owner),
      fleet_(fleet),
      chooser_(context, replica) {}

void Router::start_term(uint64_t term) {
  term_ = term;
  routes_.clear();
  unsent_routes_.clear();
  next_full_send_at_ = next_refresh_at_ = 0;
}

void Router::refresh(const wire::MachineStatusMap& statuses) {
  if (context_.now.steady < next_refresh_at_) return;
  next_refresh_at_ =
      context_.now.steady + context_.settings.platform.report_s / kRefreshesPerHeartbeat;
  chooser_.refresh(statuses, reported_quota_use());
}

// Returns the quota use reported by reachable partition owners.
std::vector<wire::QuotaUse> Router::reported_quota_use() const {
  std::vector<wire::QuotaUse> use = owner_.quota_usage();
  for (const auto& label : peers_.labels()) {
    if (!peers_.is_reachable(label)) continue;
    for (const auto& reported : peers_.find(label)->heartbeat.quota_use)
      if (is_owned_by(reported.partition, label)) use.push_back(reported);
  }
  return use;
}

bool Router::is_owned_by(int partition, const std::string& label) const {
  const bool exists = partition >= 0 && static_cast<size_t>(partition) < replica_.leases.size();
  return exists && owner_of(partition) == label;
}

const std::string& Router::owner_of(int partition) const {
  return replica_.leases[static_cast<size_t>(partition)].owner;
}

// ---- Routes

void Router::route_changed_jobs() {
  for (const auto& id : replica_.changes.changed_jobs)
    if (replica_.pending_jobs.count(id) != 0) changed_jobs_.insert(id);
  if (changed_jobs_.empty()) return;
  route(changed_jobs_);
  changed_jobs_.clear();
  send_routes();
}

void Router::retry_pending_jobs() {
  const auto& pending = replica_.pending_jobs;
  const size_t max_jobs = std::max(kMinJobsPerTurn, pending.size() / kTurnsPerFullCycle);
  std::set<std::string> batch;
  auto job = pending.upper_bound(last_retried_job_);
  for (; job != pending.end() && batch.size() < max_jobs; ++job) batch.insert(*job);
  last_retried_job_ = job == pending.end() ? "" : *batch.rbegin();
  route(batch);
  send_routes();
}

// A partition owner that this process cannot reach may have no reachable leader and then places
// shards by the fallback rule. While there are such owners, the leader routes by the same rule, so
// that no two owners place the same shard.
bool Router::has_unreachable_owner() const {
  return std::any_of(replica_.leases.begin(), replica_.leases.end(), [&](const auto& lease) {
    return !lease.owner.empty() && lease.owner != context_.settings.platform.label &&
           !peers_.is_reachable(lease.owner);
  });
}

void Router::route(const std::set<std::string>& jobs) {
  const bool uses_fallback = has_unreachable_owner();
  for (const auto& id : jobs) {
    const model::Job* job = replica_.job(id);
    if (job == nullptr || replica_.pending_jobs.count(id) == 0) continue;
    const bool is_gang = job->spec.shape == model::Shape::kGang;
    const double retry_interval_s =
        (is_gang ? kGangRetryHeartbeats : kRetryHeartbeats) * context_.settings.platform.report_s;
    JobRouting routing{job, uses_fallback, retry_interval_s, std::nullopt};
    for (uint32_t index = 0; index < job->shards.size(); ++index) route_shard(routing, index);
  }
}

void Router::route_shard(JobRouting& routing, uint32_t index) {
  const model::JobSpec& spec = routing.job->spec;
  if (routing.job->shards[index].unplaced() == 0) return;
  const model::ShardId shard{spec.id, index};
  const double now = context_.now.steady;
  auto known = routes_.find(shard);
  Route* current = known == routes_.end() ? nullptr : &known->second;
  const int partition = choose_partition(routing, index, current);
  if (spec.one_zone || spec.spread || spec.shape == model::Shape::kGang)
    routing.common_partition = partition;
  if (current != nullptr && current->partition == partition) {
    if (now - current->assigned_at >= routing.retry_interval_s) current->assigned_at = now;
    return;
  }
  routes_[shard] = {partition, now};
  unsent_routes_[partition].push_back({shard.job, shard.index});
}

// Keeps the current partition until the retry interval is over, then chooses one again.
int Router::choose_partition(const JobRouting& routing, uint32_t index, const Route* current) {
  const model::Job& job = *routing.job;
  if (current != nullptr && context_.now.steady - current->assigned_at < routing.retry_interval_s)
    return current->partition;
  if (routing.common_partition) return *routing.common_partition;
  if (routing.uses_fallback)
    return routing::fallback_partition(context_.settings, replica_, job, index, context_.now.wall);
  std::optional<int> failed_partition;
  if (job.spec.shape == model::Shape::kGang && current != nullptr)
    failed_partition = current->partition;
  return chooser_.choose(job, index, failed_partition);
}

// ---- Messages

void Router::send_routes() {
  const double now = context_.now.steady;
  const bool full = now >= next_full_send_at_;
  const auto moves = fleet_.extract_moves();
  const auto transfers = chooser_.decide_transfers(reachable_partitions());
  if (!full && unsent_routes_.empty() && moves.empty() && transfers.empty()) return;
  Messages messages = empty_messages(full);
  if (full) {
    next_full_send_at_ = now + context_.settings.platform.report_s / kFullSendsPerHeartbeat;
    remove_placed_shards();
    add_all_routes(messages);
  } else {
    add_unsent_routes(messages);
  }
  unsent_routes_.clear();
  for (auto& [label, message] : messages) message.moves = moves;
  for (const auto& transfer : transfers)
    messages[owner_of(transfer.from)].transfers.push_back(transfer);
  send_messages(messages, full);
}

std::vector<bool> Router::reachable_partitions() const {
  std::vector<bool> reachable;
  for (const auto& lease : replica_.leases)
    reachable.push_back(lease.owner == context_.settings.platform.label ||
                        peers_.is_reachable(lease.owner));
  return reachable;
}

Router::Messages Router::empty_messages(bool full) const {
  Messages messages;
  for (const auto& label : context_.settings.platform.sorted_labels()) {
    wire::RoutingUpdate& message = messages[label];
    message.term = term_;
    message.is_full = full;
  }
  return messages;
}

// Also removes the shards of jobs that are over or no longer exist.
void Router::remove_placed_shards() {
  std::erase_if(routes_, [&](const auto& entry) {
    const model::ShardId& shard = entry.first;
    const model::Job* job = replica_.job(shard.job);
    if (job == nullptr || job->over() || shard.index >= job->shards.size()) return true;
    return job->shards[shard.index].unplaced() == 0;
  });
}

void Router::add_all_routes(Messages& messages) {
  for (const auto& [shard, route] : routes_)
    messages[owner_of(route.partition)].routes.push_back({shard.job, shard.index});
  for (const auto& name : fleet_.draining())
    if (const model::Machine* machine = replica_.machine(name))
      messages[owner_of(machine->partition)].machines_to_drain.push_back(name);
}

void Router::add_unsent_routes(Messages& messages) const {
  for (const auto& [partition, unsent] : unsent_routes_) {
    auto& routes = messages[owner_of(partition)].routes;
    routes.insert(routes.end(), unsent.begin(), unsent.end());
  }
}

void Router::send_messages(const Messages& messages, bool full) {
  for (const auto& [label, message] : messages) {
    const bool is_empty =
        message.routes.empty() && message.moves.empty() && message.transfers.empty();
    if (!full && is_empty) continue;
    if (label == context_.settings.platform.label)
      owner_.apply_routing_update(message);
    else if (!label.empty())
      peers_.send(label, wire::PeerMessageKind::kRouting, wire::pack(message));
  }
}

}  // namespace rooksill::leader
