#include "rooksill/core/core.h"

#include <algorithm>

namespace rooksill::core {

using nlohmann::json;

namespace {
constexpr double kBeatsPerReport = 10;
constexpr double kLeaderTick = 0.1;
}  // namespace

Core::Core(const Settings& settings, uint64_t seed, double wall, bool debug)
    : ctx_(settings, seed),
      replica_(settings.platform.controllers),
      client_(settings.platform,
              [this](std::string method, std::string path, std::string body, double timeout,
                     CallHandler handler) {
                ctx_.call(Target::kState, ctx_.settings.platform.state_address, std::move(method),
                          std::move(path), std::move(body), timeout, std::move(handler));
              }),
      committer_(ctx_, replica_, client_),
      syncer_(ctx_, replica_, client_),
      peers_(ctx_),
      holder_(ctx_, replica_, committer_),
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
  // Refused by the state service while another node is served: users do better there.
  const double patience = ctx_.settings.platform.report_s / 3;
  if (ctx_.now.steady - client_.last_answer() < patience) return true;
  for (const auto& p : ctx_.settings.platform.peers) {
    const Peer* peer = peers_.find(p.label);
    if (peer != nullptr && peers_.alive(p.label) && peer->beat.ready && peer->beat.state_ok)
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
      for (const auto& v : beat.machines) holder_.note_address(v.name, v.address);
      peers_.all()[e->label].beat = std::move(beat);
      return;
    }
    case net::PeerKind::kUpdates: {
      net::Updates u;
      if (!replica_.synced || !net::unpack(e->payload, u)) return;
      for (const auto& x : u.items) {
        json value = json::parse(x.value, nullptr, false);
        if (!value.is_discarded()) replica_.apply(x.key, value, x.stamp);
      }
      return;
    }
    case net::PeerKind::kRoutes: {
      net::Routes r;
      if (net::unpack(e->payload, r)) holder_.routes(r);
      routed_dirty_ = true;
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

std::map<std::string, net::MachineView> Core::views() {
  std::map<std::string, net::MachineView> out;
  auto take = [&](const std::string& label, const std::vector<net::MachineView>& machines) {
    for (const auto& v : machines) {
      const Machine* m = replica_.machine(v.name);
      // Only the block's holder speaks for it.
      if (m != nullptr && replica_.leases[static_cast<size_t>(m->block)].holder == label)
        out[v.name] = v;
    }
  };
  take(ctx_.settings.platform.label, holder_.views());
  for (const auto& [label, p] : peers_.all())
    if (peers_.alive(label)) take(label, p.beat.machines);
  return out;
}

void Core::send_beat() {
  net::Beat b;
  b.ready = replica_.synced;
  b.state_ok = client_.healthy() ||
               ctx_.now.steady - client_.last_answer() < ctx_.settings.platform.report_s / 2;
  b.suspects_itself = holder_.suspects_itself();
  b.term = leader_.term();
  b.blocks = holder_.blocks();
  b.machines = holder_.views();
  peers_.broadcast(net::PeerKind::kBeat, net::pack(b));
}

void Core::tick() {
  client_.tick(ctx_.now.steady, peers_.live());
  syncer_.tick();
  committer_.tick();
  holder_.tick();
  const bool beat = ctx_.now.steady >= next_beat_;
  const bool lead = ctx_.now.steady >= next_leader_;
  if (beat) {
    next_beat_ = ctx_.now.steady + ctx_.settings.platform.report_s / kBeatsPerReport;
    send_beat();
  }
  if (lead) {
    next_leader_ = ctx_.now.steady + kLeaderTick;
    routed_dirty_ = true;
    auto v = views();
    fleet_.observe(v);
    leader_.tick(v);
    for (const auto& [name, address] : fleet_.take_addresses()) holder_.note_address(name, address);
  }
}

void Core::run(const std::vector<Command>& batch, Time now) {
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
    for (const auto& id : accepted) {
      const Job* j = replica_.job(id);
      for (uint32_t c = 0; j != nullptr && c < j->chunks.size(); ++c) holder_.route_here({id, c});
    }
  }
  if (!replica_.touched_jobs.empty() || routed_dirty_) {
    if (leader_.leading()) leader_.route_now(views());
    holder_.place();
  }
  routed_dirty_ = false;
  fleet_.measure(replica_.events);
  replica_.events.clear();
  replica_.touched_jobs.clear();
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
