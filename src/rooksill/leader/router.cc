#include "rooksill/leader/router.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "rooksill/model/machine.h"
#include "rooksill/routing/fallback_routing.h"

namespace rooksill::leader {

namespace {
// How long a shard waits with a partition before another is tried, in report periods.
constexpr double kPatienceReports = 1;
constexpr double kGangPatienceReports = 0.25;
constexpr double kRefreshesPerReport = 10;
constexpr double kFullSendsPerReport = 6;
// Each turn looks at so many waiting jobs, or at such a part of them if that is more.
constexpr size_t kMinJobsPerTurn = 20;
constexpr size_t kTurnsForAllJobs = 10;
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
  fresh_routes_.clear();
  next_full_send_ = next_refresh_ = 0;
}

void Router::refresh(const wire::MachineStatusMap& statuses) {
  if (context_.now.steady < next_refresh_) return;
  next_refresh_ = context_.now.steady + context_.settings.platform.report_s / kRefreshesPerReport;
  chooser_.refresh(statuses, reported_quota_use());
}

// What teams use of their quotas, as far as owners can be heard.
std::vector<wire::QuotaUse> Router::reported_quota_use() const {
  std::vector<wire::QuotaUse> use = owner_.quota_use();
  for (const auto& label : peers_.labels()) {
    if (!peers_.heard(label)) continue;
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

// ---- routes
// ----------------------------------------------------------------------------------------

void Router::route_touched_jobs() {
  for (const auto& id : replica_.changes.touched_jobs)
    if (replica_.waiting_jobs.count(id) != 0) touched_jobs_.insert(id);
  if (touched_jobs_.empty()) return;
  route(touched_jobs_);
  touched_jobs_.clear();
  send_routes();
}

void Router::route_next_jobs() {
  const auto& waiting = replica_.waiting_jobs;
  const size_t most = std::max(kMinJobsPerTurn, waiting.size() / kTurnsForAllJobs);
  std::set<std::string> turn;
  auto job = waiting.upper_bound(last_looked_at_);
  for (; job != waiting.end() && turn.size() < most; ++job) turn.insert(*job);
  last_looked_at_ = job == waiting.end() ? "" : *turn.rbegin();
  route(turn);
  send_routes();
}

// Owners that hear no leader place what falls to them by the fallback rule; while there are such
// owners, the leader routes by it as well, so that no two owners place the same shard.
bool Router::some_owner_does_not_hear_us() const {
  return std::any_of(replica_.leases.begin(), replica_.leases.end(), [&](const auto& lease) {
    return !lease.owner.empty() && lease.owner != context_.settings.platform.label &&
           !peers_.heard(lease.owner);
  });
}

void Router::route(const std::set<std::string>& jobs) {
  const bool leader_unheard = some_owner_does_not_hear_us();
  for (const auto& id : jobs) {
    const model::Job* job = replica_.job(id);
    if (job == nullptr || replica_.waiting_jobs.count(id) == 0) continue;
    const bool gang = job->spec.shape == model::Shape::kGang;
    const double patience_s =
        (gang ? kGangPatienceReports : kPatienceReports) * context_.settings.platform.report_s;
    JobRouting routing{job, leader_unheard, patience_s, std::nullopt};
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
    if (now - current->since >= routing.patience_s) current->since = now;
    return;
  }
  routes_[shard] = {partition, now};
  fresh_routes_[partition].push_back({shard.job, shard.index});
}

int Router::choose_partition(const JobRouting& routing, uint32_t index, const Route* current) {
  const model::Job& job = *routing.job;
  if (current != nullptr && context_.now.steady - current->since < routing.patience_s)
    return current->partition;
  if (routing.common_partition) return *routing.common_partition;
  if (routing.leader_unheard)
    return routing::fallback_partition(context_.settings, replica_, job, index, context_.now.wall);
  std::optional<int> failed;
  if (job.spec.shape == model::Shape::kGang && current != nullptr) failed = current->partition;
  return chooser_.choose(job, index, failed);
}

// ---- messages
// --------------------------------------------------------------------------------------

void Router::send_routes() {
  const double now = context_.now.steady;
  const bool full = now >= next_full_send_;
  const auto moves = fleet_.take_moves();
  const auto transfers = chooser_.decide_transfers(reachable_partitions());
  if (!full && fresh_routes_.empty() && moves.empty() && transfers.empty()) return;
  Messages messages = empty_messages(full);
  if (full) {
    next_full_send_ = now + context_.settings.platform.report_s / kFullSendsPerReport;
    forget_placed_shards();
    add_all_routes(messages);
  } else {
    add_fresh_routes(messages);
  }
  fresh_routes_.clear();
  for (auto& [label, message] : messages) message.moves = moves;
  for (const auto& transfer : transfers)
    messages[owner_of(transfer.from)].transfers.push_back(transfer);
  deliver(messages, full);
}

std::vector<bool> Router::reachable_partitions() const {
  std::vector<bool> reachable;
  for (const auto& lease : replica_.leases)
    reachable.push_back(lease.owner == context_.settings.platform.label ||
                        peers_.heard(lease.owner));
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

void Router::forget_placed_shards() {
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

void Router::add_fresh_routes(Messages& messages) const {
  for (const auto& [partition, fresh] : fresh_routes_) {
    auto& routes = messages[owner_of(partition)].routes;
    routes.insert(routes.end(), fresh.begin(), fresh.end());
  }
}

void Router::deliver(const Messages& messages, bool full) {
  for (const auto& [label, message] : messages) {
    const bool empty = message.routes.empty() && message.moves.empty() && message.transfers.empty();
    if (!full && empty) continue;
    if (label == context_.settings.platform.label)
      owner_.routes(message);
    else if (!label.empty())
      peers_.send(label, wire::PeerMessageKind::kRouting, wire::pack(message));
  }
}

}  // namespace rooksill::leader
