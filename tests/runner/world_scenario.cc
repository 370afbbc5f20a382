// A scenario in a simulated world. See docs/testing.md for its words.
#include <memory>

#include "rooksill/wire/store_codec.h"
#include "runner/kinds.h"
#include "standins/world.h"

namespace runner {

namespace {

using standins::UserJob;
using standins::World;

UserJob make_job(const Line& l, const std::string& id) {
  UserJob j;
  j.truth.id = id;
  j.truth.image = l.text("image", "img-1");
  j.truth.tasks = static_cast<int>(l.get("tasks", 1));
  j.truth.service = l.text("shape", "batch") == "service";
  j.truth.gang = l.text("shape", "batch") == "ensemble";
  j.truth.fails = l.get("fails", 0) != 0;
  j.truth.cpus = l.get("cpus", 2);
  j.truth.memory_gb = l.get("memory", 2);
  j.truth.image_gb = l.get("image_gb", 0.5);
  j.truth.run_s = l.get("run", 5);
  j.truth.checkpoint_s = l.get("checkpoint", 0);
  j.truth.save_s = l.get("save", 0);
  j.team = l.text("team", "team-a");
  j.zone = l.text("zone", "");
  if (l.named.count("types") != 0) j.types = split(l.text("types", ""), ',');
  j.spot = l.get("spot", 0) != 0;
  j.spread = l.get("spread", 0) != 0;
  j.together = l.get("together", 0) != 0;
  using nlohmann::json;
  j.body = json{{"id", id},
                {"flock", l.text("class", "work")},
                {"owner", j.team},
                {"shape", l.text("shape", "batch")},
                {"rank", l.text("rank", "standard")},
                {"pieces", j.truth.tasks},
                {"cores", j.truth.cpus},
                {"gpus", 0.0},
                {"memory_gb", j.truth.memory_gb},
                {"bundle", j.truth.image},
                {"size_gb", j.truth.image_gb},
                {"builds", j.types.empty() ? json(nullptr) : json(j.types)},
                {"ward", j.zone.empty() ? json(nullptr) : json(j.zone)},
                {"together", j.together},
                {"spread", j.spread},
                {"loaners", j.spot},
                {"guess_s", j.truth.service ? 0.0 : j.truth.run_s},
                {"snapshot_s", j.truth.checkpoint_s},
                {"flush_s", j.truth.save_s},
                {"due_s", nullptr}};
  for (const auto& [k, v] : l.named)
    if (k.rfind("body.", 0) == 0) {
      auto value = json::parse(v, nullptr, false);
      j.body[k.substr(5)] = value.is_discarded() ? json(v) : value;
    }
  if (l.named.count("drop") != 0) j.body.erase(l.text("drop", ""));
  return j;
}

std::string job_id(int n) {
  std::string d = std::to_string(n);
  return "wk-" + std::string(d.size() < 6 ? 6 - d.size() : 0, '0') + d;
}

class WorldScenario {
 public:
  WorldScenario(const std::vector<Line>& lines, uint64_t seed, bool verbose) : lines_(lines) {
    options_.seed = seed;
    options_.verbose = verbose;
  }

  uint64_t effects_digest() const { return world_->effects_digest(); }

  void run() {
    for (const auto& l : lines_) {
      const std::string verb = l.word(0);
      if (verb == "world") {
        set_up(l);
      } else if (verb == "type") {
        standins::TypeSpec t;
        t.name = l.word(1);
        t.cpus = l.get("cpus", 16);
        t.memory_gb = l.get("memory", 64);
        t.price = l.get("price", 1);
        t.spot_price = l.get("spot", 0.4);
        t.boot_s = l.get("boot", 2);
        t.fetch_gb_per_s = l.get("fetch", 1);
        t.zones = split(l.text("zones", "a,b"), ',');
        t.capacity = static_cast<int>(l.get("capacity", 8));
        world().add_type(t);
      } else if (verb == "team") {
        world().add_team(l.word(1), l.get("cpus", 0), l.get("max", 0));
      } else if (verb == "start") {
        world().start();
      } else if (verb == "at") {
        Line rest = l;
        rest.words.erase(rest.words.begin(), rest.words.begin() + 2);
        world().at(l.number_at(1), [this, rest] { act(rest); });
      } else if (verb == "faults") {
        draw_faults(l);
      } else if (verb == "run") {
        world().run_until(l.number_at(1));
      } else if (verb == "expect") {
        expect(l);
      } else if (verb != "kind") {
        fail(l, "unknown word " + verb);
      }
    }
    world().check_end();
    if (!world().violations().empty()) throw Failure(world().violations().front());
    if (!world().state().broken.empty()) throw Failure(world().state().broken.front());
  }

 private:
  World& world() {
    if (!world_) world_ = std::make_unique<World>(options_);
    return *world_;
  }

  void set_up(const Line& l) {
    options_.nodes = static_cast<int>(l.get("nodes", options_.nodes));
    options_.report_s = l.get("report", options_.report_s);
    options_.lease_s = l.get("lease", options_.lease_s);
    options_.cancel_s = l.get("cancel", options_.cancel_s);
    options_.state_rps = l.get("rps", options_.state_rps);
    options_.write_rps = l.get("writes", options_.write_rps);
    options_.list_lag_s = l.get("lag", options_.list_lag_s);
    options_.cloud_rps = l.get("cloud", options_.cloud_rps);
    options_.value_bytes = static_cast<size_t>(l.get("value", 8192));
    options_.txn_ops = static_cast<size_t>(l.get("ops", 32));
    options_.first_version = l.get("first_version", 0) != 0;
    options_.gang_wait_s = l.get("gang_wait", options_.gang_wait_s);
    options_.gang_peer_s = l.get("gang_peer", options_.gang_peer_s);
    options_.next_write_rps = l.get("next_writes", 0);
    options_.next_txn_ops = static_cast<size_t>(l.get("next_ops", 0));
    options_.next_value_bytes = static_cast<size_t>(l.get("next_value", 0));
  }

  int node_of(const std::string& word) {
    if (word == "leader") return std::max(0, world().leader());
    if (word == "other") return (std::max(0, world().leader()) + 1) % options_.nodes;
    return std::stoi(word);
  }

  void act(const Line& l) {
    const std::string verb = l.word(0);
    const double for_s = l.get("for", 5);
    const bool hold = l.text("mode", "hold") == "hold";
    if (verb == "submit") {
      const int first = std::stoi(l.word(1)), count = static_cast<int>(l.get("count", 1));
      for (int i = 0; i < count; ++i) {
        UserJob j = make_job(l, job_id(first + i));
        world().at(world().now() + i * l.get("every", 0.05), [this, j] { world().submit(j); });
      }
    } else if (verb == "cancel") {
      world().cancel(job_id(std::stoi(l.word(1))));
    } else if (verb == "crash") {
      if (l.word(1) == "all")
        for (int i = 0; i < options_.nodes; ++i) world().crash(i, for_s);
      else if (l.word(1) == "others")
        for (int i = 1; i < options_.nodes; ++i)
          world().crash((std::max(0, world().leader()) + i) % options_.nodes, for_s);
      else
        world().crash(node_of(l.word(1)), for_s);
    } else if (verb == "roll") {
      for (int i = 0; i < options_.nodes; ++i)
        world().at(world().now() + i * l.get("every", 5),
                   [this, i, for_s] { world().crash(i, for_s); });
    } else if (verb == "upgrade") {
      for (int i = 0; i < options_.nodes; ++i)
        world().at(world().now() + i * l.get("every", 5),
                   [this, i, for_s] { world().upgrade(i, for_s); });
    } else if (verb == "upgrade_one") {
      world().upgrade(node_of(l.word(1)), for_s);
    } else if (verb == "downgrade") {
      world().downgrade(node_of(l.word(1)), for_s);
    } else if (verb == "cut") {
      world().cut(node_of(l.word(1)), l.text("from", "all"), for_s, hold);
    } else if (verb == "refuse") {
      world().refuse(node_of(l.word(1)), for_s);
    } else if (verb == "freeze") {
      world().freeze(node_of(l.word(1)), for_s);
    } else if (verb == "lower_limits") {
      world().lower_limits();
    } else if (verb == "state_outage") {
      world().state_outage(for_s);
    } else if (verb == "cloud_outage") {
      world().cloud_outage(for_s);
    } else if (verb == "machine_cut") {
      world().machine_cut(static_cast<int>(l.get("count", 1)), for_s, hold, l.text("zone", ""));
    } else if (verb == "machine_deaf") {
      world().machine_deaf(static_cast<int>(l.get("count", 1)), for_s);
    } else if (verb == "copies") {
      world().late_copies(l.get("chance", 0.3), l.get("by", 20), for_s);
    } else if (verb == "machine_hang") {
      world().machine_hang(static_cast<int>(l.get("count", 1)), for_s);
    } else if (verb == "machine_fault") {
      world().machine_fault(static_cast<int>(l.get("count", 1)));
    } else if (verb == "take") {
      world().take_spot(l.get("share", 0.5), l.get("notice", 0));
    } else if (verb == "never_boot") {
      world().cloud().never_boot = static_cast<int>(l.get("count", 1));
    } else if (verb == "capacity") {
      for (auto& t : world().cloud().types) t.capacity = static_cast<int>(l.get("to", 0));
    } else if (verb == "lose") {
      world().lose_answers(l.get("chance", 0.3), for_s);
    } else if (verb == "late") {
      world().late_requests(l.get("chance", 0.3), l.get("by", 3), for_s);
    } else if (verb == "zone_cut") {
      world().zone_cut(l.text("zone", "a"), node_of(l.word(1)), for_s, hold);
    } else if (verb == "late_writes") {
      world().late_writes(l.get("chance", 0.3), l.get("by", 6), for_s);
    } else if (verb == "late_commands") {
      world().late_commands(l.get("chance", 0.3), l.get("by", 6), for_s);
    } else if (verb == "state_slow") {
      world().slow_state(l.get("by", 0.8), for_s);
    } else if (verb == "machine_mute") {
      world().machine_mute(static_cast<int>(l.get("count", 1)), for_s, l.text("zone", ""));
    } else if (verb == "cancel_now") {
      world().cancel_now(static_cast<int>(l.get("count", 1)), l.get("hang", 0));
    } else if (verb == "cancel_at_end") {
      world().cancel_at_end(l.get("chance", 0.5), for_s);
    } else if (verb == "odd_requests") {
      world().odd_requests(for_s);
    } else if (verb == "expect") {
      expect(l);
    } else {
      fail(l, "unknown act " + verb);
    }
  }

  // Troubles drawn from the seed, alone and overlapping.
  void draw_faults(const Line& l) {
    auto& rng = world().rng();
    std::uniform_real_distribution<double> unit(0, 1);
    const double from = l.get("from", 10), to = l.get("to", 60);
    const int count = static_cast<int>(l.get("count", 8));
    for (int i = 0; i < count; ++i) {
      const double t = from + unit(rng) * (to - from), for_s = 0.3 + unit(rng) * 9;
      const int node = static_cast<int>(rng() % static_cast<uint64_t>(options_.nodes));
      const bool hold = unit(rng) < 0.6;
      const double p = unit(rng);
      const auto kind = rng() % 25;
      static const char* sides[] = {"state", "workers", "peers", "all"};
      const std::string side = sides[rng() % 4];
      world().at(t, [this, kind, node, for_s, hold, side, p] {
        World& w = world();
        switch (kind) {
          case 0:
          case 1:
            return w.crash(node, std::min(for_s, 3.0));
          case 2:
            return w.crash(node, 0.1);
          case 3:
            for (int k = 0; k < options_.nodes; ++k) w.crash(k, 1 + 0.2 * k);
            return;
          case 4:
          case 5:
          case 6:
            return w.cut(node, side, for_s, hold);
          case 7:
            return w.refuse(node, for_s);
          case 8:
            return w.state_outage(for_s);
          case 9:
            return w.machine_cut(1 + static_cast<int>(p * 2), for_s, hold);
          case 10:
            return w.machine_hang(1 + static_cast<int>(p * 2), for_s);
          case 11:
            return w.lose_answers(0.1 + 0.4 * p, for_s);
          case 12:
            return w.late_requests(0.1 + 0.4 * p, 1 + 5 * p, for_s);
          case 13:
            return w.take_spot(0.6, p < 0.5 ? 0 : 3);
          case 14:
            return w.machine_deaf(1 + static_cast<int>(p * 2), 2 * for_s);
          case 15:
            return w.late_copies(0.2 + 0.5 * p, 4 * for_s, for_s);
          case 16:
            return w.freeze(node, 1.5 * for_s);
          case 17:
            return w.late_writes(0.2 + 0.4 * p, 2 + 6 * p, for_s);
          case 18:
            return w.slow_state(0.2 + 0.8 * p, for_s);
          case 19:
            return w.machine_mute(1 + static_cast<int>(p * 4), 2 * for_s);
          case 20:
            return w.cancel_now(1 + static_cast<int>(p * 4), p < 0.5 ? 0 : for_s);
          case 21:
            return w.cancel_at_end(0.5, for_s);
          case 22:
            return w.odd_requests(for_s);
          case 23:  // the gap: refused, cancellations through the others, then nobody is served
            w.refuse(node, 2 + for_s);
            w.cut(node, "peers", 0.2 + p, hold);
            w.cancel_now(2, 0);
            w.at(w.now() + 0.3 + p / 2, [&w, for_s] { w.state_outage(2 * for_s); });
            return;
          case 24:  // from the state and the others, not from workers and users
            w.cut(node, "state", 2 * for_s, hold);
            w.cut(node, "peers", 2 * for_s, hold);
            w.cancel_now(2, 0);
            return;
        }
      });
    }
  }

  static void at_most(const Line& l, uint64_t got) {
    if (got > static_cast<uint64_t>(l.number_at(2))) fail(l, "got " + std::to_string(got));
  }

  void expect(const Line& l) {
    const std::string what = l.word(1);
    World& w = world();
    auto one = [&](size_t i) -> UserJob& {
      UserJob* j = w.job(job_id(std::stoi(l.word(i))));
      if (j == nullptr) fail(l, "no such job");
      return *j;
    };
    if (what == "over") {
      if (!w.all_over()) {
        for (const auto& [id, j] : w.jobs())
          if (j.told.empty() && !j.rejected)
            fail(l, id + " is not over: accepted " + std::to_string(j.accepted) + ", " +
                        std::to_string(w.running(id)) + " running");
      }
    } else if (what == "over_batch") {
      for (const auto& [id, j] : w.jobs())
        if (!j.truth.service && j.told.empty() && !j.rejected)
          fail(l, id + " is not over: accepted " + std::to_string(j.accepted) + ", " +
                      std::to_string(w.running(id)) + " running");
    } else if (what == "done" || what == "withdrawn") {
      if (one(2).told != what) fail(l, l.word(2) + " was told '" + one(2).told + "'");
    } else if (what == "running") {
      const int n = w.running(one(2).truth.id);
      if (n != static_cast<int>(l.number_at(3))) fail(l, std::to_string(n) + " running");
    } else if (what == "services_whole") {
      for (const auto& [id, j] : w.jobs()) {
        if (!j.truth.service || !j.accepted || j.cancel_asked) continue;
        if (w.running(id) != j.truth.tasks)
          fail(l, id + ": " + std::to_string(w.running(id)) + " running");
      }
    } else if (what == "status") {
      if (one(2).status != static_cast<int>(l.number_at(3)))
        fail(l, "status " + std::to_string(one(2).status));
    } else if (what == "starts_at_most") {
      const int n = w.starts_of(one(2).truth.id);
      if (n > static_cast<int>(l.number_at(3))) fail(l, std::to_string(n) + " starts");
    } else if (what == "machines_at_most") {
      if (w.machines() > static_cast<int>(l.number_at(2)))
        fail(l, std::to_string(w.machines()) + " machines");
    } else if (what == "machines_at_least") {
      if (w.machines() < static_cast<int>(l.number_at(2)))
        fail(l, std::to_string(w.machines()) + " machines");
    } else if (what == "writes_at_most") {
      at_most(l, w.state().writes);
    } else if (what == "requests_at_most") {
      at_most(l, w.state().requests);
    } else if (what == "starts_after_cancel_at_most") {
      at_most(l, static_cast<uint64_t>(w.starts_after_cancel()));
    } else if (what == "sessions_at_most") {
      at_most(l, w.most_sessions());
    } else if (what == "peer_bytes_at_most") {
      at_most(l, w.peer_bytes());
    } else if (what == "even") {  // nobody holds two partitions more than another
      std::map<std::string, int> held;
      for (int b = 0; b < options_.nodes; ++b) held["c" + std::to_string(b)] = 0;
      for (int b = 0; b < options_.nodes; ++b)
        if (const auto* v = w.state().value(rooksill::wire::lease_key(b)))
          ++held[v->at("h").get<std::string>()];
      const auto [least, most] =
          std::minmax_element(held.begin(), held.end(),
                              [](const auto& a, const auto& b) { return a.second < b.second; });
      if (most->second > least->second + 1) fail(l, most->first + " holds too many blocks");
    } else if (what == "token_at_most") {  // rises with each lease of a partition
      uint64_t most = 0;
      for (int b = 0; b < options_.nodes; ++b)
        if (const auto* v = w.state().value(rooksill::wire::lease_key(b)))
          most = std::max(most, v->at("t").get<uint64_t>());
      at_most(l, most);
    } else if (what == "upgraded") {
      if (w.upgraded() != (l.number_at(2) != 0)) fail(l, "not so");
    } else if (what == "leader") {
      if (w.leader() < 0) fail(l, "nobody leads");
    } else if (what == "refused_at_most") {
      at_most(l, w.state().refused);
    } else {
      fail(l, "unknown expectation " + what);
    }
  }

  std::vector<Line> lines_;
  standins::WorldOptions options_;
  std::unique_ptr<World> world_;
};

}  // namespace

uint64_t play_world(const std::vector<Line>& lines, uint64_t seed, bool verbose) {
  WorldScenario scenario(lines, seed, verbose);
  scenario.run();
  return scenario.effects_digest();
}

}  // namespace runner
