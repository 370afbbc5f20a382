#include "rooksill/core/core.h"

#include <algorithm>

namespace rooksill::core {

using nlohmann::json;

namespace {
constexpr double kBeatsPerReport = 10;
constexpr double kLeaderTick = 0.1;
constexpr double kRefusedReports = 0.2;  // by which another's answers come later than our last
constexpr double kPauseReports = 0.3;    // between two batches: the process stood still
constexpr size_t kViewsPerMessage = 200;
}  // namespace

Core::Core(const Settings& settings, uint64_t seed, double wall, bool debug)
    : ctx_(settings, seed),
      replica_(settings.platform),
      client_(settings.platform,
              [this](std::string method, std::string path, std::string body, double timeout,
                     CallHandler handler) {
                ctx_.call(Target::kState, ctx_.settings.platform.state_address, std::move(method),
                          std::move(path), std::move(body), timeout, std::move(handler));
              }),
      committer_(ctx_, replica_, client_),
      syncer_(ctx_, replica_, client_),
      peers_(ctx_),
      upgrade_(ctx_, replica_, committer_, peers_),
      cancellations_(ctx_, replica_, peers_),
      holder_(ctx_, replica_, client_, committer_, cancellations_),
      fleet_(ctx_, replica_, committer_),
      leader_(ctx_, replica_, client_, committer_, peers_, holder_, fleet_),
      users_(ctx_, replica_, client_, committer_) {
  ctx_.debug_on = debug;
  // Grows from process to process of a node, but for the clock's error.
  ctx_.incarnation = (static_cast<uint64_t>(wall * 1000) << 12) | (ctx_.rng() & 0xfff);
}

bool Core::ready() const {
  if (!replica_.synced || replica_.types.empty()) return false;
  if (client_.healthy()) return true;
  // Refused by the state service while another node is served: users do better there. In an outage
  // nobody is, and to be passed over for it would cost the time until a balancer trusts us again:
  // so another must have been answered well after we were no more.
  for (const auto& p : ctx_.settings.platform.peers) {
    const Peer* peer = peers_.find(p.label);
    if (peer != nullptr && peers_.alive(p.label) && peer->beat.ready &&
        peer->last_heard - peer->beat.state_age >
            client_.failing_since() + kRefusedReports * ctx_.settings.platform.report_s)
      return false;
  }
  return true;
}

void Core::on_request(const Request& r) {
  if (r.target == "/agent/beat") {
    if (r.method != "POST") return ctx_.reply(r.id, 405, "{}");
    return holder_.report(r.id, r.body);
  }
  if (r.target == "/ready") {
    if (r.method != "GET") return ctx_.reply(r.id, 405, "{}");
    const bool ok = ready();
    return ctx_.reply(r.id, ok ? 200 : 503, ok ? "{\"ready\":true}" : "{\"ready\":false}",
                      ok ? 0 : 1);
  }
  users_.handle(r);
}

void Core::on_peer(const PeerMessage& m) {
  auto e = peers_.receive(m.bytes);
  if (!e) return;
  switch (static_cast<net::PeerKind>(e->kind)) {
    case net::PeerKind::kBeat: {
      net::Beat beat;
      if (!net::unpack(e->payload, beat)) return;
      for (const auto& a : beat.addresses) holder_.note_address(a.machine, a.address);
      cancellations_.heard(e->label, beat);
      peers_.all()[e->label].beat = std::move(beat);
      return;
    }
    case net::PeerKind::kViews: {
      net::Views v;
      if (net::unpack(e->payload, v)) take_views(e->label, std::move(v.machines));
      return;
    }
    case net::PeerKind::kUpdates: {
      net::Updates u;
      if (!replica_.synced || !net::unpack(e->payload, u)) return;
      for (const auto& x : u.items) {
        if (x.value.empty()) {
          replica_.remove(x.key, x.stamp);
          continue;
        }
        json value = json::parse(x.value, nullptr, false);
        if (!value.is_discarded()) replica_.apply(x.key, value, x.stamp);
      }
      return;
    }
    case net::PeerKind::kCancelled: {
      net::Cancelled c;
      if (net::unpack(e->payload, c)) cancellations_.heard(e->label, c);
      return;
    }
    case net::PeerKind::kRoutes: {
      net::Routes r;
      if (net::unpack(e->payload, r)) holder_.routes(r);
      return;
    }
    case net::PeerKind::kSighting: {
      net::Sighting s;
      if (net::unpack(e->payload, s)) {
        holder_.note_address(s.machine, s.address);
        fleet_.sighted(s);
      }
      return;
    }
  }
}

void Core::take_views(const std::string& label, std::vector<net::MachineView> machines) {
  for (auto& v : machines) {
    const Machine* m = replica_.machine(v.name);
    // Only the block's holder speaks for it.
    if (m == nullptr || replica_.leases[static_cast<size_t>(m->block)].holder != label) continue;
    told_by_[v.name] = label;
    const std::string name = v.name;
    views_[name] = std::move(v);
  }
}

// What a former holder said, and what was said of machines that are gone, counts no more.
void Core::forget_views() {
  std::erase_if(told_by_, [&](const auto& t) {
    const Machine* m = replica_.machine(t.first);
    if (m != nullptr && replica_.leases[static_cast<size_t>(m->block)].holder == t.second)
      return false;
    views_.erase(t.first);
    return true;
  });
}

// Holders tell the leader of their machines: all of them to a new one, then what changes.
void Core::tell_views() {
  const Leadership& l = replica_.leader;
  if (l.label.empty()) return;
  const bool fresh = l.stamp != told_to_.stamp;
  auto views = holder_.take_views(fresh);
  told_to_ = l;
  if (views.empty()) return;
  if (l.label == ctx_.settings.platform.label) return take_views(l.label, std::move(views));
  net::Views message;
  for (auto& v : views) {
    message.machines.push_back(std::move(v));
    if (message.machines.size() < kViewsPerMessage) continue;
    peers_.send(l.label, net::PeerKind::kViews, net::pack(message));
    message.machines.clear();
  }
  if (!message.machines.empty()) peers_.send(l.label, net::PeerKind::kViews, net::pack(message));
}

bool Core::state_answers() const {
  return client_.healthy() ||
         ctx_.now.steady - client_.last_answer() < ctx_.settings.platform.report_s / 2;
}

void Core::send_beat() {
  net::Beat b;
  b.ready = replica_.synced;
  b.state_ok = state_answers();
  b.state_age = ctx_.now.steady - client_.last_answer();
  b.suspects_itself = holder_.suspects_itself();
  b.term = leader_.term();
  b.addresses = holder_.take_addresses();
  b.unreachable_zones = holder_.unreachable_zones();
  b.team_use = holder_.team_use();
  cancellations_.fill(b);
  peers_.broadcast(net::PeerKind::kBeat, net::pack(b));
}

// What this node did and what waits, once a period: enough to tell overload from trouble.
void Core::tell_counts() {
  const auto& s = ctx_.settings;
  const double period = s.operators.period_reports * s.platform.report_s;
  if (ctx_.now.steady < next_counts_) return;
  if (next_counts_ > 0) {
    std::string text;
    for (const auto& [name, n] : ctx_.counts) text += fmt::format(" {} {:.1f}", name, n / period);
    ctx_.info("load", "a second:{}; waiting: {} changes, {} submissions, {} polls, {} jobs; {}",
              text, holder_.queued(), users_.submissions(), users_.polls(),
              replica_.waiting_jobs.size(), holder_.summary());
    ctx_.counts.clear();
  }
  next_counts_ = ctx_.now.steady + period;
}

// For those that cannot be told anything over a connection: a write every so often, and only then.
void Core::leave_life_sign() {
  if (ctx_.now.steady < next_sign_ || !replica_.synced || !state_answers()) return;
  const auto owed = peers_.owed(replica_);
  if (owed.empty()) return;
  LifeSign s;
  s.incarnation = ctx_.incarnation;
  s.suspects_itself = holder_.suspects_itself();
  s.meant_for = owed;
  s.silent = holder_.silent_machines();
  s.unreachable_zones = holder_.unreachable_zones();
  const auto key = life_sign_key(ctx_.settings.platform.label);
  if (committer_.commit({}, {{key, encode_life_sign(s), 0}}, [](const state::TxnResult&) {})) {
    ctx_.count("life_signs");
    next_sign_ = ctx_.now.steady + peers_.sign_pause();
  }
}

// Of machines whose holder is alive and cannot be heard, the leader knows what the state says.
void Core::view_from_state() {
  const double report = ctx_.settings.platform.report_s;
  if (!leader_.leading() || ctx_.now.steady < next_state_views_) return;
  next_state_views_ = ctx_.now.steady + report / 4;
  for (size_t b = 0; b < replica_.leases.size(); ++b) {
    const std::string& holder = replica_.leases[b].holder;
    if (holder == ctx_.settings.platform.label || peers_.heard(holder) || !peers_.alive(holder))
      continue;
    const auto& silent = replica_.life_signs[holder].silent;
    for (const auto& page : replica_.pages[b])
      for (const auto& name : page.names) {
        const Machine& m = *replica_.machine(name);
        auto type = replica_.types.find(m.type);
        if (type == replica_.types.end()) continue;
        const MachineType& t = type->second;
        const MachineLoad& load = replica_.load(name);
        net::MachineView& v = views_[name];
        told_by_[name] = holder;
        v.name = name;
        v.up = v.up || !load.tasks.empty() || ctx_.now.wall - m.rented > 2 * t.boot_s;
        v.draining = false;  // its holder cannot be told, nor say that it is empty
        v.silent = std::find(silent.begin(), silent.end(), name) != silent.end();
        v.cpus_free = v.up && !v.silent ? t.cpus - load.cpus : 0;
        v.gpus_free = t.gpus - load.gpus;
        v.memory_free = t.memory_gb - load.memory;
        v.tasks = static_cast<uint32_t>(load.tasks.size());
        v.load = std::max(t.cpus > 0 ? load.cpus / t.cpus : 0,
                          t.memory_gb > 0 ? load.memory / t.memory_gb : 0);
      }
  }
}

void Core::tick() {
  cancellations_.collect();
  cancellations_.tell();
  tell_counts();
  client_.tick(ctx_.now.steady, peers_.live());
  peers_.see(replica_);
  leave_life_sign();
  syncer_.tick();
  committer_.tick();
  upgrade_.tick(leader_.leading());
  if (Upgrade::complete(replica_)) peers_.speak(kPresentVersion);
  holder_.tick();
  const double now = ctx_.now.steady;
  if (now >= next_scan_) {
    next_scan_ = now + kTick * 0.9;
    holder_.scan();
  }
  if (now >= next_beat_) {
    next_beat_ = now + ctx_.settings.platform.report_s / kBeatsPerReport;
    send_beat();
    tell_views();
  }
  if (now >= next_leader_) {
    next_leader_ = now + kLeaderTick;
    forget_views();
    view_from_state();
    fleet_.observe();
    leader_.tick(views_);
    for (const auto& [name, address] : fleet_.take_addresses()) holder_.note_address(name, address);
  }
}

// A process that stood still while its clocks ran on knows nothing of the time between: others may
// have been leased its blocks and cancelled its jobs. Until the state has answered a question asked
// since, no task is started for what was decided before.
void Core::note_pause(Time now) {
  const double since = ctx_.now.steady;
  if (since <= 0 || now.steady - since < kPauseReports * ctx_.settings.platform.report_s) return;
  ctx_.woke = now.steady;
  peers_.paused(now.steady - since);
  ctx_.info("core", "stood still for {:.1f} s: nothing is started until the state was asked",
            now.steady - since);
}

void Core::run(const std::vector<Command>& batch, Time now) {
  note_pause(now);
  ctx_.now = now;
  // Ranks: reports of workers and answers first, then what controllers say, then users.
  std::vector<const Request*> users;
  for (const auto& c : batch) {
    if (const auto* d = std::get_if<CallDone>(&c)) {
      ctx_.finish(*d);
    } else if (const auto* r = std::get_if<Request>(&c)) {
      if (r->target == "/agent/beat" || r->target == "/ready")
        on_request(*r);
      else
        users.push_back(r);
    } else if (const auto* m = std::get_if<PeerMessage>(&c)) {
      on_peer(*m);
    } else if (const auto* l = std::get_if<PeerLost>(&c)) {
      peers_.lost(l->label);
      if (l->label == told_to_.label) told_to_ = {};  // what was told may not have arrived
    }
  }
  for (const Request* r : users) on_request(*r);
  if (auto s = holder_.take_sighting()) {
    if (leader_.leading())
      fleet_.sighted(*s);
    else if (!replica_.leader.label.empty())
      peers_.send(replica_.leader.label, net::PeerKind::kSighting, net::pack(*s));
  }
  tick();
  // Without a leader to route them, new jobs go to the blocks of the node that took them.
  const auto accepted = users_.take_accepted();
  if (leader_.absent()) {
    holder_.deal_alone();
    for (const auto& id : accepted) {
      const Job* j = replica_.job(id);
      for (uint32_t c = 0; j != nullptr && c < j->chunks.size(); ++c) holder_.route_here({id, c});
    }
  }
  if (!replica_.touched_jobs.empty()) {
    holder_.want_place();
    leader_.route_now();
  }
  fleet_.measure(replica_.events);
  replica_.events.clear();
  replica_.touched_jobs.clear();
  holder_.look();
  replica_.touched_machines.clear();
  holder_.transfer_limits();
  holder_.place();
  holder_.flush();
  holder_.push();
  users_.flush();
  auto updates = committer_.take_updates();
  if (!updates.empty()) {
    net::Updates u;
    u.items = std::move(updates);
    peers_.broadcast(net::PeerKind::kUpdates, net::pack(u));
  }
}

}  // namespace rooksill::core
