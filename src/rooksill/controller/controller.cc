#include "rooksill/controller/controller.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"

namespace rooksill::controller {

using nlohmann::json;

namespace {
constexpr double kHeartbeatsPerReport = 10;
constexpr double kLeaderTick = 0.1;
constexpr double kRefusedReports = 0.2;  // by which another's answers come later than our last
constexpr double kPauseReports = 0.3;    // between two batches: the process stood still
constexpr size_t kStatusesPerMessage = 200;
}  // namespace

Controller::Controller(const Settings& settings, uint64_t seed, double wall, bool debug)
    : ctx_(settings, seed),
      replica_(settings.platform),
      client_(settings.platform,
              [this](std::string method, std::string path, std::string body, double timeout,
                     runtime::CallHandler handler) {
                ctx_.call(runtime::Target::kState, ctx_.settings.platform.state_address,
                          std::move(method), std::move(path), std::move(body), timeout,
                          std::move(handler));
              }),
      committer_(ctx_, replica_, client_),
      replica_sync_(ctx_, replica_, client_),
      peers_(ctx_),
      upgrade_(ctx_, replica_, committer_, peers_),
      cancellations_(ctx_, replica_, peers_),
      owner_(ctx_, replica_, client_, committer_, cancellations_),
      fleet_(ctx_, replica_, committer_),
      leader_(ctx_, replica_, client_, committer_, peers_, owner_, fleet_),
      user_requests_(ctx_, replica_, client_, committer_) {
  ctx_.debug_on = debug;
  // Grows from process to process of a node, but for the clock's error.
  ctx_.incarnation = (static_cast<uint64_t>(wall * 1000) << 12) | (ctx_.rng() & 0xfff);
}

bool Controller::ready() const {
  if (!replica_.synced || replica_.types.empty()) return false;
  if (client_.healthy()) return true;
  // Refused by the store while another node is served: users do better there. In an outage
  // nobody is, and to be passed over for it would cost the time until a balancer trusts us again:
  // so another must have been answered well after we were no more.
  for (const auto& p : ctx_.settings.platform.peers) {
    const membership::Peer* peer = peers_.find(p.label);
    if (peer != nullptr && peers_.alive(p.label) && peer->heartbeat.ready &&
        peer->last_heard - peer->heartbeat.store_age >
            client_.failing_since() + kRefusedReports * ctx_.settings.platform.report_s)
      return false;
  }
  return true;
}

void Controller::on_request(const runtime::Request& r) {
  if (r.target == "/agent/beat") {
    if (r.method != "POST") return ctx_.reply(r.id, 405, "{}");
    return owner_.report(r.id, r.body);
  }
  if (r.target == "/ready") {
    if (r.method != "GET") return ctx_.reply(r.id, 405, "{}");
    const bool ok = ready();
    return ctx_.reply(r.id, ok ? 200 : 503, ok ? "{\"ready\":true}" : "{\"ready\":false}",
                      ok ? 0 : 1);
  }
  user_requests_.handle(r);
}

void Controller::on_peer(const runtime::PeerMessage& m) {
  auto e = peers_.receive(m.bytes);
  if (!e) return;
  switch (static_cast<wire::PeerKind>(e->kind)) {
    case wire::PeerKind::kHeartbeat: {
      wire::ControllerHeartbeat heartbeat;
      if (!wire::unpack(e->payload, heartbeat)) return;
      for (const auto& a : heartbeat.addresses) owner_.record_address(a.machine, a.address);
      cancellations_.heard(e->label, heartbeat);
      peers_.all()[e->label].heartbeat = std::move(heartbeat);
      return;
    }
    case wire::PeerKind::kMachineStatus: {
      wire::MachineStatusUpdate v;
      if (wire::unpack(e->payload, v)) take_statuses(e->label, std::move(v.machines));
      return;
    }
    case wire::PeerKind::kUpdates: {
      wire::Updates u;
      if (!replica_.synced || !wire::unpack(e->payload, u)) return;
      for (const auto& x : u.items) {
        if (x.value.empty()) {
          replica_.remove(x.key, x.revision);
          continue;
        }
        json value = json::parse(x.value, nullptr, false);
        if (!value.is_discarded()) replica_.apply(x.key, value, x.revision);
      }
      return;
    }
    case wire::PeerKind::kCancelled: {
      wire::Cancelled c;
      if (wire::unpack(e->payload, c)) cancellations_.heard(e->label, c);
      return;
    }
    case wire::PeerKind::kRouting: {
      wire::RoutingUpdate r;
      if (wire::unpack(e->payload, r)) owner_.routes(r);
      return;
    }
    case wire::PeerKind::kUnassignedMachine: {
      wire::UnassignedMachine s;
      if (wire::unpack(e->payload, s)) {
        owner_.record_address(s.machine, s.address);
        fleet_.on_unassigned_machine(s);
      }
      return;
    }
  }
}

void Controller::take_statuses(const std::string& label,
                               std::vector<wire::MachineStatus> machines) {
  for (auto& v : machines) {
    const model::Machine* m = replica_.machine(v.name);
    // Only the partition's owner speaks for it.
    if (m == nullptr || replica_.leases[static_cast<size_t>(m->partition)].owner != label) continue;
    published_by_[v.name] = label;
    const std::string name = v.name;
    statuses_[name] = std::move(v);
  }
}

// What a former owner said, and what was said of machines that are gone, counts no more.
void Controller::forget_statuses() {
  std::erase_if(published_by_, [&](const auto& t) {
    const model::Machine* m = replica_.machine(t.first);
    if (m != nullptr && replica_.leases[static_cast<size_t>(m->partition)].owner == t.second)
      return false;
    statuses_.erase(t.first);
    return true;
  });
}

// Owners tell the leader of their machines: all of them to a new one, then what changes.
void Controller::publish_statuses() {
  const model::Leadership& l = replica_.leader;
  if (l.label.empty()) return;
  const bool fresh = l.revision != published_to_.revision;
  auto statuses = owner_.take_statuses(fresh);
  published_to_ = l;
  if (statuses.empty()) return;
  if (l.label == ctx_.settings.platform.label) return take_statuses(l.label, std::move(statuses));
  wire::MachineStatusUpdate message;
  for (auto& v : statuses) {
    message.machines.push_back(std::move(v));
    if (message.machines.size() < kStatusesPerMessage) continue;
    peers_.send(l.label, wire::PeerKind::kMachineStatus, wire::pack(message));
    message.machines.clear();
  }
  if (!message.machines.empty())
    peers_.send(l.label, wire::PeerKind::kMachineStatus, wire::pack(message));
}

bool Controller::store_answers() const {
  return client_.healthy() ||
         ctx_.now.steady - client_.last_answer() < ctx_.settings.platform.report_s / 2;
}

void Controller::send_heartbeat() {
  wire::ControllerHeartbeat b;
  b.ready = replica_.synced;
  b.store_ok = store_answers();
  b.store_age = ctx_.now.steady - client_.last_answer();
  b.suspects_itself = owner_.suspects_itself();
  b.term = leader_.term();
  b.addresses = owner_.take_addresses();
  b.unreachable_zones = owner_.unreachable_zones();
  b.quota_use = owner_.quota_use();
  cancellations_.fill(b);
  peers_.broadcast(wire::PeerKind::kHeartbeat, wire::pack(b));
}

// What this node did and what waits, once a period: enough to tell overload from trouble.
void Controller::log_counters() {
  const auto& s = ctx_.settings;
  const double period = s.operators.period_reports * s.platform.report_s;
  if (ctx_.now.steady < next_counts_) return;
  if (next_counts_ > 0) {
    std::string text;
    for (const auto& [name, n] : ctx_.counts) text += fmt::format(" {} {:.1f}", name, n / period);
    ctx_.info("load", "a second:{}; waiting: {} changes, {} submissions, {} polls, {} jobs; {}",
              text, owner_.queued(), user_requests_.submissions(), user_requests_.polls(),
              replica_.waiting_jobs.size(), owner_.summary());
    ctx_.counts.clear();
  }
  next_counts_ = ctx_.now.steady + period;
}

// For those that cannot be told anything over a connection: a write every so often, and only then.
void Controller::write_liveness_record() {
  if (ctx_.now.steady < next_liveness_write_ || !replica_.synced || !store_answers()) return;
  const auto owed = peers_.owed(replica_);
  if (owed.empty()) return;
  model::LivenessRecord s;
  s.incarnation = ctx_.incarnation;
  s.suspects_itself = owner_.suspects_itself();
  s.meant_for = owed;
  s.silent = owner_.silent_machines();
  s.unreachable_zones = owner_.unreachable_zones();
  const auto key = wire::liveness_key(ctx_.settings.platform.label);
  if (committer_.commit({}, {{key, wire::encode_liveness(s), 0}},
                        [](const store::TransactionResult&) {})) {
    ctx_.count("life_signs");
    next_liveness_write_ = ctx_.now.steady + peers_.liveness_interval();
  }
}

// Of machines whose owner is alive and cannot be heard, the leader knows what the state says.
void Controller::status_from_store() {
  const double report = ctx_.settings.platform.report_s;
  if (!leader_.leading() || ctx_.now.steady < next_store_statuses_) return;
  next_store_statuses_ = ctx_.now.steady + report / 4;
  for (size_t b = 0; b < replica_.leases.size(); ++b) {
    const std::string& owner = replica_.leases[b].owner;
    if (owner == ctx_.settings.platform.label || peers_.heard(owner) || !peers_.alive(owner))
      continue;
    const auto& silent = replica_.liveness_records[owner].silent;
    for (const auto& page : replica_.pages[b])
      for (const auto& name : page.names) {
        const model::Machine& m = *replica_.machine(name);
        auto type = replica_.types.find(m.type);
        if (type == replica_.types.end()) continue;
        const model::MachineType& t = type->second;
        const store::MachineLoad& load = replica_.load(name);
        wire::MachineStatus& v = statuses_[name];
        published_by_[name] = owner;
        v.name = name;
        v.up = v.up || !load.tasks.empty() || ctx_.now.wall - m.rented > 2 * t.boot_s;
        v.draining = false;  // its owner cannot be told, nor say that it is empty
        v.silent = std::find(silent.begin(), silent.end(), name) != silent.end();
        v.cpus_free = v.up && !v.silent ? t.capacity.cpus - load.used.cpus : 0;
        v.gpus_free = t.capacity.gpus - load.used.gpus;
        v.memory_free = t.capacity.memory_gb - load.used.memory_gb;
        v.tasks = static_cast<uint32_t>(load.tasks.size());
        v.load =
            std::max(t.capacity.cpus > 0 ? load.used.cpus / t.capacity.cpus : 0,
                     t.capacity.memory_gb > 0 ? load.used.memory_gb / t.capacity.memory_gb : 0);
      }
  }
}

void Controller::tick() {
  cancellations_.collect();
  cancellations_.tell();
  log_counters();
  client_.tick(ctx_.now.steady, peers_.live());
  peers_.see(replica_);
  write_liveness_record();
  replica_sync_.tick();
  committer_.tick();
  upgrade_.tick(leader_.leading());
  if (membership::Upgrade::complete(replica_)) peers_.speak(model::kPresentVersion);
  owner_.tick();
  const double now = ctx_.now.steady;
  if (now >= next_timeout_check_) {
    next_timeout_check_ = now + kTick * 0.9;
    owner_.check_timeouts();
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + ctx_.settings.platform.report_s / kHeartbeatsPerReport;
    send_heartbeat();
    publish_statuses();
  }
  if (now >= next_leader_) {
    next_leader_ = now + kLeaderTick;
    forget_statuses();
    status_from_store();
    fleet_.observe();
    leader_.tick(statuses_);
    for (const auto& [name, address] : fleet_.take_addresses())
      owner_.record_address(name, address);
  }
}

// A process that stood still while its clocks ran on knows nothing of the time between: others may
// have been leased its partitions and cancelled its jobs. Until the state has answered a question
// asked since, no task is started for what was decided before.
void Controller::detect_pause(runtime::Time now) {
  const double since = ctx_.now.steady;
  if (since <= 0 || now.steady - since < kPauseReports * ctx_.settings.platform.report_s) return;
  ctx_.resumed_at = now.steady;
  peers_.paused(now.steady - since);
  ctx_.info("core", "stood still for {:.1f} s: nothing is started until the state was asked",
            now.steady - since);
}

void Controller::run(const std::vector<runtime::Command>& batch, runtime::Time now) {
  detect_pause(now);
  ctx_.now = now;
  // Ranks: reports of workers and answers first, then what controllers say, then users.
  std::vector<const runtime::Request*> users;
  for (const auto& c : batch) {
    if (const auto* d = std::get_if<runtime::CallDone>(&c)) {
      ctx_.finish(*d);
    } else if (const auto* r = std::get_if<runtime::Request>(&c)) {
      if (r->target == "/agent/beat" || r->target == "/ready")
        on_request(*r);
      else
        users.push_back(r);
    } else if (const auto* m = std::get_if<runtime::PeerMessage>(&c)) {
      on_peer(*m);
    } else if (const auto* l = std::get_if<runtime::PeerLost>(&c)) {
      peers_.lost(l->label);
      if (l->label == published_to_.label)
        published_to_ = {};  // what was told may not have arrived
    }
  }
  for (const runtime::Request* r : users) on_request(*r);
  if (auto s = owner_.take_unassigned_machine()) {
    if (leader_.leading())
      fleet_.on_unassigned_machine(*s);
    else if (!replica_.leader.label.empty())
      peers_.send(replica_.leader.label, wire::PeerKind::kUnassignedMachine, wire::pack(*s));
  }
  tick();
  // Without a leader to route them, new jobs go to the partitions of the node that took them.
  const auto accepted = user_requests_.take_accepted();
  if (leader_.absent()) {
    owner_.route_without_leader();
    for (const auto& id : accepted) {
      const model::Job* j = replica_.job(id);
      for (uint32_t c = 0; j != nullptr && c < j->shards.size(); ++c) owner_.route_here({id, c});
    }
  }
  if (!replica_.touched_jobs.empty()) {
    owner_.request_placement();
    leader_.route_now();
  }
  fleet_.measure(replica_.events);
  replica_.events.clear();
  replica_.touched_jobs.clear();
  owner_.apply_store_changes();
  replica_.touched_machines.clear();
  owner_.transfer_quotas();
  owner_.place();
  owner_.flush();
  owner_.push();
  user_requests_.flush();
  auto updates = committer_.take_updates();
  if (!updates.empty()) {
    wire::Updates u;
    u.items = std::move(updates);
    peers_.broadcast(wire::PeerKind::kUpdates, wire::pack(u));
  }
}

}  // namespace rooksill::controller
