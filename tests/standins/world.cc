#include "standins/world.h"

#include <algorithm>
#include <cmath>
#include <iostream>

#include "rooksill/wire/controller_messages.h"
#include "standins/first_version.h"

namespace standins {

using nlohmann::json;

World::World(const WorldOptions& o)
    : options_(o),
      rng_(o.seed),
      state_(o.state_rps, o.write_rps, o.value_bytes, o.txn_ops),
      cloud_(o.cloud_rps, o.list_lag_s) {}

World::~World() = default;

void World::violate(const std::string& text) {
  violations_.push_back("t=" + std::to_string(now_) + " " + text);
}

void World::add_type(const TypeSpec& type) { cloud_.types.push_back(type); }

void World::add_team(const std::string& name, double cpus, double cpus_max) {
  teams_[name] = {cpus, cpus_max};
}

void World::start() {
  std::set<std::string> zones;
  for (const auto& t : cloud_.types) zones.insert(t.zones.begin(), t.zones.end());
  for (int i = 0; i < options_.nodes; ++i) {
    rooksill::Settings s;
    auto& p = s.platform;
    p.label = "c" + std::to_string(i);
    p.state_address = "state:1";
    p.cloud_address = "cloud:1";
    for (int k = 0; k < options_.nodes; ++k)
      if (k != i) p.peers.push_back({"c" + std::to_string(k), "c" + std::to_string(k) + ":2"});
    p.controllers = options_.nodes;
    p.zones.assign(zones.begin(), zones.end());
    for (const auto& [name, t] : teams_) p.teams[name] = {t.first, t.second, 0, 0};
    p.report_s = options_.report_s;
    p.lease_s = options_.lease_s;
    p.cancel_s = options_.cancel_s;
    p.gang_wait_s = options_.gang_wait_s;
    p.gang_peer_s = options_.gang_peer_s;
    p.state_rps = options_.state_rps;
    p.state_write_rps = options_.write_rps;
    p.state_next_write_rps =
        options_.next_write_rps > 0 ? options_.next_write_rps : options_.write_rps;
    p.state_txn_ops = options_.next_txn_ops > 0 ? options_.next_txn_ops : options_.txn_ops;
    p.state_present_value_bytes = options_.value_bytes;
    p.state_value_bytes =
        options_.next_value_bytes > 0 ? options_.next_value_bytes : options_.value_bytes;
    p.cloud_rps = options_.cloud_rps;
    p.cloud_list_lag_s = options_.list_lag_s;
    settings_.push_back(s);
    Node n;
    n.label = p.label;
    n.first_version = options_.first_version;
    nodes_.push_back(std::move(n));
  }
  for (int i = 0; i < options_.nodes; ++i) boot(i);
}

void World::boot(int node) {
  Node& n = nodes_[static_cast<size_t>(node)];
  ++n.generation;
  n.queue.clear();
  n.scheduled = false;
  started_settings_[node] = settings_of(node);
  n.core = std::make_unique<rooksill::controller::Controller>(started_settings_[node], rng_(),
                                                              1.7e9 + now_, options_.verbose);
  deliver(node, rooksill::runtime::Tick{});
}

// The version before upgrade records does not read which limits the store will have.
rooksill::Settings World::settings_of(int node) const {
  rooksill::Settings s = settings_[static_cast<size_t>(node)];
  if (!nodes_[static_cast<size_t>(node)].first_version) return s;
  s.platform.state_next_write_rps = options_.write_rps;
  s.platform.state_txn_ops = options_.txn_ops;
  s.platform.state_value_bytes = options_.value_bytes;
  return s;
}

bool World::upgraded() const { return state_.value("rk/upgrade") != nullptr; }

void World::upgrade(int node, double down_s) {
  nodes_[static_cast<size_t>(node)].first_version = false;
  crash(node, down_s);
}

void World::downgrade(int node, double down_s) {
  nodes_[static_cast<size_t>(node)].first_version = true;
  crash(node, down_s);
}

// Until all have the present version, nobody says anything that the one before does not know.
void World::check_forms(const Node& from, const std::string& message) {
  if (upgraded() && !from.first_version) return;
  const std::string unknown = unknown_to_first_version(message);
  if (!unknown.empty())
    violate("unknown to the first version, from " + from.label + ": " + unknown);
}

void World::at(double t, std::function<void()> f) {
  events_.emplace(std::max(t, now_), std::move(f));
}

void World::run_until(double t) {
  double next_step = now_;
  while (now_ < t) {
    // The world moves in short steps; events fall between them.
    while (!events_.empty() && events_.begin()->first <= next_step) {
      auto node = events_.extract(events_.begin());
      now_ = std::max(now_, node.key());
      node.mapped()();
    }
    now_ = next_step;
    state_.tick(now_);
    cloud_.tick(now_);
    step_machines();
    check_waiting();
    next_step += 0.02;
  }
}

double World::latency() { return std::uniform_real_distribution<double>(0.0005, 0.004)(rng_); }

void World::deliver(int node, rooksill::runtime::Command c) {
  Node& n = nodes_[static_cast<size_t>(node)];
  if (!n.core) return;
  n.queue.push_back(std::move(c));
  if (n.scheduled) return;
  n.scheduled = true;
  at(now_ + 0.0005, [this, node, g = n.generation] { process(node, g); });
}

void World::process(int node, uint64_t generation) {
  Node& n = nodes_[static_cast<size_t>(node)];
  if (!n.core || n.generation != generation) return;
  if (n.frozen_until > now_) {  // what comes meanwhile waits in its sockets
    at(n.frozen_until, [this, node, generation] { process(node, generation); });
    return;
  }
  n.scheduled = false;
  std::vector<rooksill::runtime::Command> batch;
  batch.swap(n.queue);
  n.core->run(batch, {now_ + 100.0 * node, 1.7e9 + now_ + 0.03 * node});
  perform(node);
  const bool ticked =
      std::any_of(batch.begin(), batch.end(), [](const rooksill::runtime::Command& c) {
        return std::holds_alternative<rooksill::runtime::Tick>(c);
      });
  if (ticked)
    at(now_ + rooksill::controller::Controller::kTick, [this, node, generation] {
      if (nodes_[static_cast<size_t>(node)].generation == generation)
        deliver(node, rooksill::runtime::Tick{});
    });
}

void World::perform(int node) {
  Node& n = nodes_[static_cast<size_t>(node)];
  rooksill::runtime::Effects out = std::move(n.core->effects());
  n.core->effects().clear();
  effects_digest_.add(now_, n.label, out);
  if (options_.verbose)
    for (const auto& l : out.log)
      std::cerr << now_ << " " << n.label << " " << l.component << ": " << l.text << "\n";
  for (const auto& r : out.replies) {
    auto it = n.pending.find(r.request);
    if (it == n.pending.end()) continue;
    auto f = std::move(it->second);
    n.pending.erase(it);
    f(r);
  }
  for (const auto& p : out.peer) send_to_peer(node, p);
  for (const auto& c : out.calls) call(node, c);
}

void World::send_to_peer(int node, const rooksill::runtime::PeerSend& p) {
  peer_bytes_ += p.bytes.size();
  check_forms(nodes_[static_cast<size_t>(node)], p.bytes);
  const int to = std::stoi(p.label.substr(1));
  double until = 0, until2 = 0;
  bool hold = false, hold2 = false;
  double when = now_ + latency();
  const bool a = cut_off(node, "peers", until, hold), b = cut_off(to, "peers", until2, hold2);
  if (a || b) {
    if ((a && !hold) || (b && !hold2)) return;
    when = std::max(until, until2) + latency();
  }
  at(when, [this, to, bytes = p.bytes] {
    rooksill::wire::Envelope envelope;
    const bool taken = rooksill::wire::unpack(bytes, envelope) && envelope.version == 1;
    if (taken || !nodes_[static_cast<size_t>(to)].first_version)
      deliver(to, rooksill::runtime::PeerMessage{bytes});
  });
}

bool World::cut_off(int node, const std::string& side, double& until, bool& hold) const {
  const Node& n = nodes_[static_cast<size_t>(node)];
  for (const auto& s : {side, std::string("all")}) {
    auto it = n.cuts.find(s);
    if (it != n.cuts.end() && it->second.first > now_) {
      until = it->second.first;
      hold = it->second.second;
      return true;
    }
  }
  return false;
}

bool World::on_island(int node, const Machine& m) const {
  return island_.until > now_ && island_.node == node && island_.zone == m.worker->zone;
}

void World::call(int node, const rooksill::runtime::Call& c) {
  Node& n = nodes_[static_cast<size_t>(node)];
  const uint64_t generation = n.generation;
  auto answered = std::make_shared<bool>(false);
  auto finish = [this, node, generation, id = c.id, answered](int status, std::string body,
                                                              bool refused) {
    if (*answered) return;
    *answered = true;
    if (nodes_[static_cast<size_t>(node)].generation != generation) return;
    deliver(node, rooksill::runtime::CallDone{id, status, std::move(body), refused});
  };
  at(now_ + c.timeout_s, [finish] { finish(0, "", false); });

  const std::string side = c.target == rooksill::runtime::Target::kState   ? "state"
                           : c.target == rooksill::runtime::Target::kCloud ? "cloud"
                                                                           : "workers";
  double until = 0;
  bool hold = false;
  double when = now_ + latency();
  Machine* machine = nullptr;
  if (c.target == rooksill::runtime::Target::kWorker) {
    auto it = machines_.find(c.address.substr(0, c.address.find(':')));
    if (it == machines_.end() || it->second.worker->dead) return;  // silent
    machine = &it->second;
    if (machine->deaf_until > now_) return;
    if (machine->cut_until > now_ && !on_island(node, *machine)) {
      if (!machine->hold) return;
      when = machine->cut_until + latency();
    }
  }
  if ((machine == nullptr || !on_island(node, *machine)) && cut_off(node, side, until, hold)) {
    if (!hold) return;
    when = std::max(when, until + latency());
  }
  std::uniform_real_distribution<double> chance(0, 1);
  bool lost = chance(rng_) < lose_chance_;
  if (c.target == rooksill::runtime::Target::kState) {
    if (slow_s_ > 0) when += slow_s_ * chance(rng_);
    if (late_write_chance_ > 0 && c.path == "/txn" && chance(rng_) < late_write_chance_) {
      lost = true;
      when += 1 + (late_write_s_ - 1) * chance(rng_);
    }
  }
  if (c.target != rooksill::runtime::Target::kCloud && chance(rng_) < late_chance_)
    when += late_s_ * chance(rng_);
  if (late_command_chance_ > 0 && c.path == "/commands" && chance(rng_) < late_command_chance_)
    when += late_command_s_ * chance(rng_);
  const std::string name = machine != nullptr ? machine->worker->name : "";
  at(when, [this, c, finish, lost, name, node] {
    auto back = [this, finish, lost](const Answer& a) {
      if (lost) return;
      at(now_ + latency(), [finish, a] { finish(a.status, a.body, false); });
    };
    switch (c.target) {
      case rooksill::runtime::Target::kState:
        if (nodes_[static_cast<size_t>(node)].refused) return back({503, "{}"});
        if (nodes_[static_cast<size_t>(node)].first_version)
          return ask_state_as_first_version(c, back);
        return state_.handle(now_, c.method, c.path, c.body, back);
      case rooksill::runtime::Target::kCloud:
        return back(cloud_.handle(now_, c.method, c.path, c.body));
      case rooksill::runtime::Target::kWorker: {
        auto it = machines_.find(name);
        if (it == machines_.end() || it->second.worker->dead) return;
        if (it->second.worker->hanging) {
          return deliver_after_hang(c, name);
        }
        it->second.worker->advance(now_);
        return back(it->second.worker->handle(now_, c.method, c.path, c.body));
      }
    }
  });
}

// A controller of the version before writes no record of its version, and sees none.
void World::ask_state_as_first_version(const rooksill::runtime::Call& c,
                                       const std::function<void(const Answer&)>& back) {
  if (c.path == "/txn") {
    const json body = json::parse(c.body);
    for (const auto& write : body["writes"])
      if (write.contains("put") && ignored_by_first_version(write["put"].get<std::string>()))
        return back({409, json{{"failed", json::array()}, {"epoch", 1}}.dump()});
  }
  if (c.path.rfind("/store/rk/v/", 0) == 0 || c.path == "/store/rk/upgrade")
    return back({404, "{}"});
  state_.handle(now_, c.method, c.path, c.body, [back](const Answer& a) {
    json body = json::parse(a.body, nullptr, false);
    for (const char* list : {"items", "news"}) {
      if (!body.is_object() || !body.contains(list)) continue;
      json kept = json::array();
      for (const auto& entry : body[list]) {
        const std::string key = entry.value("k", entry.value("put", ""));
        if (!ignored_by_first_version(key)) kept.push_back(entry);
      }
      body[list] = std::move(kept);
    }
    back({a.status, body.dump()});
  });
}

// Executed when the machine continues, long after the sender gave up.
void World::deliver_after_hang(const rooksill::runtime::Call& c, const std::string& name) {
  at(now_ + 0.1, [this, c, name] {
    auto m = machines_.find(name);
    if (m == machines_.end() || m->second.worker->dead) return;
    if (m->second.worker->hanging) return deliver_after_hang(c, name);
    m->second.worker->advance(now_);
    m->second.worker->handle(now_, c.method, c.path, c.body);
  });
}

void World::ask(int node, const std::string& method, const std::string& target,
                const std::string& body, double timeout_s,
                std::function<void(int, const std::string&, double)> f) {
  Node& n = nodes_[static_cast<size_t>(node)];
  auto answered = std::make_shared<bool>(false);
  auto finish = [answered, f = std::move(f)](int status, const std::string& text, double retry) {
    if (*answered) return;
    *answered = true;
    f(status, text, retry);
  };
  if (!n.core) {
    at(now_ + 0.001, [finish] { finish(0, "", 0); });
    return;
  }
  at(now_ + timeout_s, [finish] { finish(0, "", 0); });
  const uint64_t generation = n.generation;
  at(now_ + latency(), [this, node, generation, method, target, body, finish] {
    Node& x = nodes_[static_cast<size_t>(node)];
    if (x.generation != generation || !x.core) return finish(0, "", 0);
    const uint64_t id = x.next_request++;
    x.pending[id] = [this, finish](const rooksill::runtime::Reply& r) {
      at(now_ + latency(), [finish, r] { finish(r.status, r.body, r.retry_after_s); });
    };
    deliver(node, rooksill::runtime::Request{id, method, target, body});
  });
}

// ---- machines ------------------------------------------------------------------------------

void World::step_machines() {
  for (const auto& name : std::exchange(cloud_.booted, {})) {
    const CloudMachine& m = cloud_.machines[name];
    if (m.gone) continue;
    const auto type = std::find_if(cloud_.types.begin(), cloud_.types.end(),
                                   [&](const TypeSpec& t) { return t.name == m.type; });
    Worker::Hooks hooks;
    hooks.job = [this](const std::string& id) -> const JobTruth* {
      auto it = jobs_.find(id);
      return it == jobs_.end() ? nullptr : &it->second.truth;
    };
    hooks.started = [this](const Worker& w, const TaskKey& key, uint64_t attempt) {
      auto& where = on_[key];
      for (const auto& [machine, a] : where)
        violate("ran_twice: " + key.job + "/" + std::to_string(key.index) + " attempt " +
                std::to_string(attempt) + " starts on " + w.name + " while attempt " +
                std::to_string(a) + " is on " + machine);
      where[w.name] = attempt;
      ++starts_[key.job];
      UserJob& job = jobs_[key.job];
      if (job.started_at < 0 && !job.truth.gang) job.started_at = now_;
      if (job.told_cancelled >= 0) ++starts_after_cancel_;
      check_places(w, key);
    };
    hooks.ended = [this](const Worker& w, const TaskKey& key) { on_[key].erase(w.name); };
    hooks.completed = [this](const TaskKey& key) { return completed_.count(key) != 0; };
    hooks.complete = [this](const TaskKey& key) {
      completed_.insert(key);
      UserJob& j = jobs_[key.job];
      bool all = true;
      for (int i = 0; i < j.truth.tasks; ++i) all = all && completed_.count({key.job, i}) != 0;
      if (!all || j.done_at >= 0) return;
      j.done_at = now_;
      std::uniform_real_distribution<double> unit(0, 1);
      if (end_chance_ > 0 && !j.cancel_asked && unit(rng_) < end_chance_)
        at(now_, [this, id = key.job] { cancel(id); });
    };
    hooks.saved = [this](const TaskKey& key) {
      auto it = saved_.find({key.job, jobs_[key.job].truth.gang ? 0 : key.index});
      return it == saved_.end() ? 0.0 : it->second;
    };
    hooks.save = [this](const TaskKey& key, double p) {
      // The tasks of a gang have one progress.
      const bool gang = jobs_[key.job].truth.gang;
      const TaskKey of{key.job, gang ? 0 : key.index};
      saved_[of] = std::max(saved_[of], p);
    };
    hooks.gang = [this](const TaskKey& key, uint64_t attempt) -> GangAttempt& {
      return gangs_[{key.job, attempt}];
    };
    Machine machine;
    const Worker::Times times{options_.report_s, options_.lease_s, options_.gang_wait_s,
                              options_.gang_peer_s};
    machine.worker = std::make_unique<Worker>(m, *type, times, hooks);
    for (const auto& n : nodes_) machine.worker->controllers.push_back(n.label);
    machine.worker->at = static_cast<int>(rng_() % nodes_.size());
    machines_.emplace(name, std::move(machine));
  }
  for (const auto& name : std::exchange(cloud_.ended, {})) {
    auto it = machines_.find(name);
    if (it != machines_.end()) it->second.worker->kill();
  }
  for (auto& [name, m] : machines_) {
    if (m.worker->dead) continue;
    if (m.worker->taken_at && now_ >= *m.worker->taken_at) {
      cloud_.take(name);
      continue;
    }
    m.worker->advance(now_);
    if (m.worker->wants_to_report(now_)) send_report(m);
  }
  for (const auto& [id, j] : jobs_) {
    if (j.told_cancelled < 0 || now_ < j.told_cancelled + options_.cancel_s) continue;
    for (int i = 0; i < j.truth.tasks; ++i) {
      auto it = on_.find({id, i});
      if (it != on_.end() && !it->second.empty()) violate("ran_cancelled: " + id);
    }
  }
}

void World::check_places(const Worker& w, const TaskKey& key) {
  const UserJob& j = jobs_[key.job];
  if (w.spot && !j.spot) violate("wrong_place: " + key.job + " on a spot machine");
  if (!j.zone.empty() && j.zone != w.zone) violate("wrong_place: " + key.job + " in " + w.zone);
  if (!j.types.empty() && std::find(j.types.begin(), j.types.end(), w.type) == j.types.end())
    violate("wrong_place: " + key.job + " on " + w.type);
  std::map<std::string, int> zones;
  for (int i = 0; i < j.truth.tasks; ++i) {
    auto it = on_.find({key.job, i});
    if (it == on_.end()) continue;
    for (const auto& [machine, a] : it->second) ++zones[cloud_.machines[machine].zone];
  }
  if (j.spread)
    for (const auto& [z, n] : zones)
      if (n > (j.truth.tasks + 1) / 2) violate("wrong_place: " + key.job + " not spread");
  if (j.together && zones.size() > 1) violate("wrong_place: " + key.job + " not together");
  if (j.told_cancelled >= 0 && now_ > j.told_cancelled + options_.cancel_s)
    violate("ran_cancelled: " + key.job + " starts");
  std::map<std::string, double> used;
  for (const auto& [task, where] : on_)
    if (!where.empty()) used[jobs_[task.job].team] += jobs_[task.job].truth.cpus;
  for (const auto& [team, cpus] : used)
    if (teams_[team].second > 0 && cpus > teams_[team].second + 1e-6) violate("quota: " + team);
}

void World::send_report(Machine& m) {
  Worker& w = *m.worker;
  const std::string body = w.make_report(now_, true);
  const double sent = now_;
  const uint64_t agent_epoch = w.agent_epoch;
  const int node = w.at;
  const std::string name = w.name;
  auto heard = [this, name, sent, agent_epoch](int status, const std::string& text) {
    auto it = machines_.find(name);
    if (it != machines_.end()) it->second.worker->on_answer(now_, status, text, sent, agent_epoch);
  };
  std::uniform_real_distribution<double> chance(0, 1);
  if (chance(rng_) < copy_chance_)
    at(now_ + copy_s_ * chance(rng_), [this, body, to = static_cast<int>(rng_() % nodes_.size())] {
      ask(to, "POST", "/agent/beat", body, 4, [](int, const std::string&, double) {});
    });
  if (m.mute_until > now_) return at(now_ + 0.001, [heard] { heard(0, ""); });
  double until = 0;
  bool hold = false;
  double held_until = 0;
  const bool island = on_island(node, m);
  if (m.cut_until > now_ && !island) held_until = m.hold ? m.cut_until : -1;
  if (!island && cut_off(node, "workers", until, hold))
    held_until = hold && held_until >= 0 ? std::max(held_until, until) : -1;
  if (held_until != 0) {
    at(now_ + 4, [heard] { heard(0, ""); });
    // Held packets arrive after the cut, when the worker has long given up.
    if (held_until > 0)
      at(held_until + latency(), [this, node, body] {
        ask(node, "POST", "/agent/beat", body, 4, [](int, const std::string&, double) {});
      });
    return;
  }
  ask(node, "POST", "/agent/beat", body, 4,
      [this, heard, name, node](int status, const std::string& text, double) {
        auto it = machines_.find(name);
        if (it == machines_.end()) return;
        if ((it->second.cut_until > now_ && !on_island(node, it->second)) ||
            it->second.deaf_until > now_)
          status = 0;  // the answer is lost to the cut
        heard(status, text);
      });
}

// ---- users ---------------------------------------------------------------------------------

int World::pick_node() {
  std::vector<int> healthy;
  for (int i = 0; i < options_.nodes; ++i)
    if (nodes_[static_cast<size_t>(i)].core && nodes_[static_cast<size_t>(i)].core->ready())
      healthy.push_back(i);
  if (healthy.empty()) return -1;
  return healthy[rng_() % healthy.size()];
}

void World::submit(UserJob j) {
  const std::string id = j.truth.id;
  j.first_try = now_;
  jobs_[id] = std::move(j);
  try_submit(id);
}

void World::try_submit(const std::string& id) {
  UserJob& j = jobs_[id];
  if (now_ - j.first_try > 60) {
    j.gave_up = true;
    return;
  }
  const int node = pick_node();
  if (node < 0) return at(now_ + 1, [this, id] { try_submit(id); });
  ask(node, "POST", "/api/jobs", j.body.dump(), 5,
      [this, id, over = !j.told.empty()](int status, const std::string& body, double retry) {
        UserJob& x = jobs_[id];
        x.status = status;
        if (status == 400 || status == 422) {
          if (x.accepted) violate("forgotten: " + id + " answered " + std::to_string(status));
          x.rejected = true;
          return;
        }
        if (status == 200 || status == 201) {
          if (!can_run(x)) violate("accepted though it cannot run or lacks a field: " + id);
          x.accepted = true;
          if (over || x.told.empty()) hear(x, status, body, false);
          return at(now_ + 1, [this, id] { poll(id); });
        }
        if (status == 503 && retry <= 0) violate("503 without Retry-After for " + id);
        at(now_ + std::max(1.0, retry), [this, id] { try_submit(id); });
      });
}

void World::hear(UserJob& j, int status, const std::string& body, bool is_poll) {
  if (status == 404 && j.accepted) return violate("forgotten: " + j.truth.id);
  if (status != 200 && status != 201) return;
  j.answered_at = now_;
  json r = json::parse(body, nullptr, false);
  if (!r.is_object()) return violate("malformed answer for " + j.truth.id);
  const auto s = r.value("status", "");
  if (is_poll && !j.accepted && !j.status) violate("invented: " + j.truth.id);
  if (!j.told.empty() && s != j.told)
    violate("went_back: " + j.truth.id + " was " + j.told + ", is " + s);
  if (s == "done" && j.done_at < 0) violate("not_done: " + j.truth.id);
  if (s == "withdrawn" && !j.cancel_asked) violate("went_back: " + j.truth.id + " not cancelled");
  if (s == "done" || s == "withdrawn") j.told = s;
  if (s == "withdrawn" && j.told_cancelled < 0) j.told_cancelled = now_;
}

void World::poll(const std::string& id) {
  UserJob& j = jobs_[id];
  const int node = static_cast<int>(rng_() % nodes_.size());
  const bool over = !j.told.empty();
  ask(node, "GET", "/api/jobs/" + id, "", 2,
      [this, id, over](int status, const std::string& body, double) {
        // An answer is older only if the question came after what was told.
        if (over || jobs_[id].told.empty()) hear(jobs_[id], status, body, true);
      });
  at(now_ + (over ? 7 : 1), [this, id] { poll(id); });
}

void World::cancel(const std::string& id) {
  jobs_[id].cancel_asked = true;
  try_cancel(id);
}

void World::try_cancel(const std::string& id) {
  const int node = pick_node();
  if (node < 0) return at(now_ + 1, [this, id] { try_cancel(id); });
  ask(node, "POST", "/api/jobs/" + id + "/cancel", "", 5,
      [this, id](int status, const std::string& body, double retry) {
        if (status == 200) return hear(jobs_[id], status, body, false);
        at(now_ + std::max(1.0, retry), [this, id] { try_cancel(id); });
      });
}

// ---- faults --------------------------------------------------------------------------------

void World::crash(int node, double down_s) {
  trouble(down_s);
  Node& n = nodes_[static_cast<size_t>(node)];
  ++n.generation;
  n.core.reset();
  n.queue.clear();
  n.scheduled = false;
  auto pending = std::move(n.pending);
  n.pending.clear();
  rooksill::runtime::Reply none;
  none.status = 0;
  for (auto& [id, f] : pending) f(none);
  for (int k = 0; k < options_.nodes; ++k)
    if (k != node) deliver(k, rooksill::runtime::PeerLost{n.label});
  at(now_ + down_s, [this, node, g = n.generation] {
    if (nodes_[static_cast<size_t>(node)].generation == g) boot(node);
  });
}

void World::cut(int node, const std::string& side, double for_s, bool hold) {
  trouble(for_s);
  nodes_[static_cast<size_t>(node)].cuts[side] = {now_ + for_s, hold};
}

void World::lower_limits() {
  if (options_.next_write_rps > 0)
    state_.lower(options_.next_write_rps, options_.next_value_bytes, options_.next_txn_ops);
}

void World::refuse(int node, double for_s) {
  trouble(for_s);
  nodes_[static_cast<size_t>(node)].refused = true;
  at(now_ + for_s, [this, node] { nodes_[static_cast<size_t>(node)].refused = false; });
}

void World::freeze(int node, double for_s) {
  trouble(for_s);
  nodes_[static_cast<size_t>(node)].frozen_until = now_ + for_s;
}

void World::state_outage(double for_s) {
  trouble(for_s);
  state_.set_outage(now_, true);
  at(now_ + for_s, [this] { state_.set_outage(now_, false); });
}

void World::cloud_outage(double for_s) {
  trouble(for_s);
  cloud_.outage = true;
  at(now_ + for_s, [this] { cloud_.outage = false; });
}

// So many machines as there are whom it strikes: it says whether it did.
void World::strike(int count, const std::function<bool(Machine&)>& one) {
  for (auto& [name, m] : machines_) {
    if (count <= 0) break;
    if (!m.worker->dead && one(m)) --count;
  }
}

void World::hang(Machine& m, double for_s) {
  m.worker->hanging = true;
  at(now_ + for_s, [this, name = m.worker->name] { machines_[name].worker->hanging = false; });
}

void World::machine_cut(int count, double for_s, bool hold, const std::string& zone) {
  trouble(for_s);
  strike(count, [&](Machine& m) {
    if (m.cut_until > now_ || (!zone.empty() && m.worker->zone != zone)) return false;
    m.cut_until = now_ + for_s;
    m.hold = hold;
    return true;
  });
}

void World::zone_cut(const std::string& zone, int node, double for_s, bool hold) {
  island_ = {zone, node, now_ + for_s};
  cut(node, "all", for_s, hold);
  machine_cut(static_cast<int>(machines_.size()), for_s, hold, zone);
}

void World::machine_deaf(int count, double for_s) {
  trouble(for_s);
  strike(count, [&](Machine& m) {
    if (m.deaf_until > now_) return false;
    m.deaf_until = now_ + for_s;
    return true;
  });
}

// A trouble that is there for a while, and gone again.
void World::set_for(double& trouble, double value, double for_s) {
  trouble = value;
  at(now_ + for_s, [&trouble] { trouble = 0; });
}

void World::late_copies(double chance, double late_s, double for_s) {
  trouble(for_s + late_s);
  copy_s_ = late_s;
  set_for(copy_chance_, chance, for_s);
}

void World::machine_hang(int count, double for_s) {
  trouble(for_s);
  strike(count, [&](Machine& m) {
    if (m.worker->hanging) return false;
    hang(m, for_s);
    return true;
  });
}

void World::machine_fault(int count) {
  strike(count, [](Machine& m) { return !std::exchange(m.worker->faulty, true); });
}

void World::take_spot(double share, double termination_notice_s) {
  std::uniform_real_distribution<double> chance(0, 1);
  for (auto& [name, m] : machines_) {
    if (m.worker->dead || !m.worker->spot || chance(rng_) > share) continue;
    if (termination_notice_s > 0)
      m.worker->taken_at = now_ + termination_notice_s;
    else
      cloud_.take(name);
  }
}

void World::lose_answers(double chance, double for_s) {
  trouble(for_s);
  set_for(lose_chance_, chance, for_s);
}

void World::late_requests(double chance, double late_s, double for_s) {
  trouble(for_s + late_s);
  late_s_ = late_s;
  set_for(late_chance_, chance, for_s);
}

void World::late_writes(double chance, double late_s, double for_s) {
  trouble(for_s + late_s);
  late_write_s_ = std::max(1.0, late_s);
  set_for(late_write_chance_, chance, for_s);
}

void World::late_commands(double chance, double late_s, double for_s) {
  trouble(for_s + late_s);
  late_command_s_ = late_s;
  set_for(late_command_chance_, chance, for_s);
}

void World::slow_state(double by_s, double for_s) {
  trouble(for_s);
  set_for(slow_s_, by_s, for_s);
}

void World::machine_mute(int count, double for_s, const std::string& zone) {
  trouble(for_s);
  strike(count, [&](Machine& m) {
    if (m.mute_until > now_ || (!zone.empty() && m.worker->zone != zone)) return false;
    m.mute_until = now_ + for_s;
    return true;
  });
}

void World::cancel_now(int count, double hang_s) {
  constexpr size_t kHung = 8;
  constexpr double kWithin = 0.2;
  std::vector<std::string> ids;
  for (const auto& [id, j] : jobs_)
    if (j.accepted && j.told.empty() && !j.cancel_asked && running(id) > 0) ids.push_back(id);
  std::shuffle(ids.begin(), ids.end(), rng_);
  if (ids.size() > static_cast<size_t>(count)) ids.resize(static_cast<size_t>(count));
  std::uniform_real_distribution<double> within(0, kWithin);
  std::set<std::string> hung;
  for (const auto& id : ids) {
    at(now_ + within(rng_), [this, id] { cancel(id); });
    for (const auto& [key, where] : on_)
      if (key.job == id && hang_s > 0 && hung.size() < kHung)
        for (const auto& [machine, attempt] : where) hung.insert(machine);
  }
  if (hang_s > 0) trouble(hang_s);
  for (const auto& name : hung) hang(machines_[name], hang_s);
}

void World::cancel_at_end(double chance, double for_s) { set_for(end_chance_, chance, for_s); }

void World::odd_requests(double for_s) {
  const bool going = odd_until_ > now_;
  odd_until_ = std::max(odd_until_, now_ + for_s);
  if (!going) odd_request();
}

// Repeats of unfinished jobs, also changed ones; cancellations of jobs that are done; questions
// about jobs that nobody submitted; jobs that fit no machine, are of no team or lack a field.
void World::odd_request() {
  if (now_ >= odd_until_) return;
  at(now_ + 0.3, [this] { odd_request(); });
  const int node = pick_node();
  if (node < 0 || jobs_.empty()) return;
  auto some = jobs_.begin();
  std::advance(some, static_cast<long>(rng_() % jobs_.size()));
  const std::string id = some->first;
  UserJob& j = some->second;
  const auto kind = rng_() % 4;
  if (kind == 0 && j.accepted) {
    json body = j.body;
    if (rng_() % 2 == 0) body["cores"] = 1e6;  // a repeat that differs is a repeat all the same
    const bool over = !j.told.empty();
    ask(node, "POST", "/api/jobs", body.dump(), 5,
        [this, id, over](int status, const std::string& text, double) {
          UserJob& x = jobs_[id];
          if (status == 201 || status == 400 || status == 422)
            return violate("forgotten: a repeat of " + id + " answered " + std::to_string(status));
          if (over || x.told.empty()) hear(x, status, text, false);
        });
  } else if (kind == 1 && j.told == "done") {
    ask(node, "POST", "/api/jobs/" + id + "/cancel", "", 5,
        [this, id](int status, const std::string& text, double) {
          if (status == 404) violate("forgotten: " + id);
          if (status == 200) hear(jobs_[id], status, text, false);
        });
  } else if (kind == 2) {
    const std::string unknown = "wk-9" + std::to_string(10000 + odd_++);
    const bool cancels = rng_() % 2 == 0;
    ask(node, cancels ? "POST" : "GET", "/api/jobs/" + unknown + (cancels ? "/cancel" : ""), "", 5,
        [this, unknown](int status, const std::string&, double) {
          if (status == 200) violate("invented: " + unknown);
        });
  } else if (kind == 3) {
    json body = j.body;
    body["id"] = "wk-8" + std::to_string(10000 + odd_++);
    int wanted = 422;
    switch (rng_() % 4) {
      case 0:
        body["cores"] = 1e6;
        break;
      case 1:
        body["owner"] = "nobody";
        break;
      case 2:
        body.erase("rank");
        wanted = 400;
        break;
      default:
        body["pieces"] = -1;
        wanted = 400;
    }
    ask(node, "POST", "/api/jobs", body.dump(), 5,
        [this, wanted, text = body.dump()](int status, const std::string&, double retry) {
          if (status != wanted && status != 0 && (status != 503 || retry <= 0))
            violate("answered " + std::to_string(status) + " to " + text);
        });
  }
}

bool World::can_run(const UserJob& j) const {
  for (const char* field : {"id", "flock", "owner", "shape", "rank", "pieces", "cores", "memory_gb",
                            "bundle", "size_gb", "together", "spread", "loaners", "guess_s"})
    if (!j.body.contains(field)) return false;
  auto team = teams_.find(j.team);
  if (team == teams_.end()) return false;
  const double max = team->second.second;
  const bool counts_whole = j.truth.service || j.truth.gang;
  if (max > 0 && j.truth.cpus * (counts_whole ? j.truth.tasks : 1) > max) return false;
  return std::any_of(cloud_.types.begin(), cloud_.types.end(), [&](const TypeSpec& t) {
    return j.truth.cpus <= t.cpus && j.truth.memory_gb <= t.memory_gb &&
           (j.types.empty() ||
            std::find(j.types.begin(), j.types.end(), t.name) != j.types.end()) &&
           (j.zone.empty() || std::find(t.zones.begin(), t.zones.end(), j.zone) != t.zones.end());
  });
}

// Once the troubles are over, no job waits while a machine that fits has room for one of its tasks
// and its team is under its limit. Users count 90 s at reports of some seconds; here they are one.
void World::check_waiting() {
  constexpr double kPatience = 30;
  if (now_ < next_waiting_check_) return;
  next_waiting_check_ = now_ + 1;
  // A gang has started when all its tasks run.
  for (const auto& [at, gang] : gangs_) {
    UserJob& job = jobs_[at.first];
    if (gang.started >= 0 && job.started_at < 0) job.started_at = gang.started;
  }
  if (now_ < trouble_until_) return waits_since_.clear();
  std::map<std::string, double> used;
  std::map<std::string, std::map<std::string, int>> zones;
  std::map<std::string, int> on;
  for (const auto& [key, where] : on_) {
    if (where.empty()) continue;
    used[jobs_[key.job].team] += jobs_[key.job].truth.cpus;
    ++on[key.job];
    for (const auto& [machine, attempt] : where) ++zones[key.job][cloud_.machines[machine].zone];
  }
  std::map<std::string, double> since;
  for (const auto& entry : jobs_) {
    const std::string& id = entry.first;
    const UserJob& j = entry.second;
    if (!j.accepted || !j.told.empty() || j.cancel_asked || j.together || j.truth.fails ||
        j.truth.gang)
      continue;
    int left = j.truth.tasks - on[id];
    for (int i = 0; i < j.truth.tasks; ++i) left -= completed_.count({id, i}) != 0 ? 1 : 0;
    const double max = teams_[j.team].second;
    if (left <= 0 || (max > 0 && used[j.team] + j.truth.cpus > max)) continue;
    const bool room = std::any_of(machines_.begin(), machines_.end(), [&](const auto& machine) {
      const Worker& w = *machine.second.worker;
      return !w.dead && !w.faulty && !w.taken_at && now_ - w.booted_at() > kPatience &&
             (!w.spot || j.spot) && (j.zone.empty() || j.zone == w.zone) &&
             (j.types.empty() ||
              std::find(j.types.begin(), j.types.end(), w.type) != j.types.end()) &&
             (!j.spread || zones[id][w.zone] < (j.truth.tasks + 1) / 2) &&
             w.free_cpus() >= j.truth.cpus && w.free_memory() >= j.truth.memory_gb;
    });
    if (!room) continue;
    auto known = waits_since_.find(id);
    const double from = since[id] = known != waits_since_.end() ? known->second : now_;
    if (now_ - from > kPatience) violate("waits though there is room: " + id);
  }
  waits_since_ = std::move(since);
}

// ---- a day's end ---------------------------------------------------------------------------

// Less than half served is a failed day. Jobs that came just before the end do not count.
void World::check_served(const std::string& what, const std::vector<const UserJob*>& jobs) {
  size_t served = 0;
  for (const UserJob* j : jobs) served += j->started_at >= 0 ? 1 : 0;
  if (served * 2 < jobs.size())
    violate("unserved: " + std::to_string(served) + " of " + std::to_string(jobs.size()) + " of " +
            what);
}

void World::check_end() {
  constexpr double kAnswered = 75, kLargestBegin = 240, kTooLate = 45, kLargestPart = 0.1;
  std::map<std::string, std::vector<const UserJob*>> classes, teams;
  for (const auto& [id, j] : jobs_) {
    if (!j.accepted || j.cancel_asked) continue;
    if (now_ - std::max({j.answered_at, j.first_try, trouble_until_}) > kAnswered)
      violate("forgotten: nothing is answered about " + id);
    if (now_ - std::max(j.first_try, trouble_until_) < kTooLate) continue;
    classes[j.job_class()].push_back(&j);
    teams[j.team].push_back(&j);
  }
  for (const auto& [name, jobs] : teams) check_served("team " + name, jobs);
  for (auto& [name, jobs] : classes) {
    check_served("class " + name, jobs);
    std::stable_sort(jobs.begin(), jobs.end(), [](const UserJob* a, const UserJob* b) {
      return a->truth.tasks > b->truth.tasks;
    });
    jobs.resize(static_cast<size_t>(std::ceil(kLargestPart * static_cast<double>(jobs.size()))));
    check_served("the largest of class " + name, jobs);
    for (const UserJob* j : jobs) {
      const double begun = j->started_at >= 0 ? j->started_at : now_;
      if (begun - j->first_try > kLargestBegin)
        violate("late: " + j->truth.id + ", one of the largest of class " + name);
    }
  }
}

// ---- looking -------------------------------------------------------------------------------

int World::leader() const {
  for (int i = 0; i < options_.nodes; ++i)
    if (nodes_[static_cast<size_t>(i)].core && nodes_[static_cast<size_t>(i)].core->leading())
      return i;
  return -1;
}

UserJob* World::job(const std::string& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

int World::running(const std::string& id) const {
  int n = 0;
  for (const auto& [key, where] : on_) n += key.job == id && !where.empty() ? 1 : 0;
  return n;
}

int World::machines() const {
  int n = 0;
  for (const auto& [name, m] : machines_) n += m.worker->dead ? 0 : 1;
  return n;
}

uint64_t World::most_sessions() const {
  uint64_t most = 0;
  for (const auto& [name, m] : machines_)
    if (!m.worker->dead) most = std::max(most, m.worker->agent_epoch);
  return most;
}

int World::starts_of(const std::string& id) const {
  auto it = starts_.find(id);
  return it == starts_.end() ? 0 : it->second;
}

bool World::all_over() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& j) {
    return j.second.rejected || j.second.gave_up || !j.second.told.empty();
  });
}

int World::count_told(const std::string& what) const {
  return static_cast<int>(std::count_if(jobs_.begin(), jobs_.end(),
                                        [&](const auto& j) { return j.second.told == what; }));
}

}  // namespace standins
