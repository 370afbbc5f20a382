// Scenarios of kind `world`: a simulated deployment, the actions and faults in it, and the expected
// results. docs/testing.md lists the statements.
#include <memory>
#include <string>

#include "runner/kinds.h"
#include "runner/verb_table.h"
#include "runner/world_actions.h"
#include "runner/world_expectations.h"
#include "standins/random_faults.h"
#include "standins/world.h"

namespace runner {

using standins::StoreLimits;
using standins::World;
using standins::WorldOptions;

namespace {

// Creates the simulated world from the options when a statement first needs it. The options are
// final from then on, which is why the statement `world` has to come first.
class Deployment {
 public:
  explicit Deployment(const WorldOptions& initial) : options_(initial) {}

  // Returns the options to change. Fails the line if the world exists already.
  WorldOptions& options(const Line& line) {
    if (world_) fail(line, "'world' has to come before all other statements");
    return options_;
  }
  // Returns the options.
  const WorldOptions& options() const { return options_; }
  // Returns the world; creates it on the first call.
  World& world() {
    if (!world_) world_ = std::make_unique<World>(options_);
    return *world_;
  }

 private:
  WorldOptions options_;
  std::unique_ptr<World> world_;
};

// ---- statements: each function runs the statement of the same name -------------------------

size_t get_size(const Line& line, const std::string& name, size_t default_value) {
  return static_cast<size_t>(line.get(name, static_cast<double>(default_value)));
}

// Reads the store's present limits, and the announced ones, which default to the present limits.
// No limits are announced if the line has none of their parameters.
void read_store_limits(const Line& line, WorldOptions& options) {
  StoreLimits& present = options.store_limits;
  present.writes_per_s = line.get("store_write_rps", present.writes_per_s);
  present.transaction_writes = get_size(line, "transaction_writes", present.transaction_writes);
  present.value_bytes = get_size(line, "value_bytes", present.value_bytes);
  if (!line.has("announced_write_rps") && !line.has("announced_transaction_writes") &&
      !line.has("announced_value_bytes"))
    return;
  StoreLimits announced;
  announced.writes_per_s = line.get("announced_write_rps", present.writes_per_s);
  announced.transaction_writes =
      get_size(line, "announced_transaction_writes", present.transaction_writes);
  announced.value_bytes = get_size(line, "announced_value_bytes", present.value_bytes);
  options.announced_store_limits = announced;
}

void world(Deployment& deployment, const Line& line) {
  WorldOptions& options = deployment.options(line);
  options.controllers = get_size(line, "controllers", options.controllers);
  options.heartbeat_s = line.get("heartbeat", options.heartbeat_s);
  options.lease_s = line.get("lease", options.lease_s);
  options.cancel_s = line.get("cancel", options.cancel_s);
  options.gang_wait_s = line.get("gang_wait", options.gang_wait_s);
  options.gang_peer_s = line.get("gang_peer", options.gang_peer_s);
  options.store_requests_per_s = line.get("store_rps", options.store_requests_per_s);
  options.cloud_requests_per_s = line.get("cloud_rps", options.cloud_requests_per_s);
  options.cloud_list_lag_s = line.get("cloud_list_lag", options.cloud_list_lag_s);
  options.first_version = line.get_flag("first_version");
  read_store_limits(line, options);
}

void type(Deployment& deployment, const Line& line) {
  standins::TypeSpec type;
  type.name = line.word(1);
  type.cpus = line.get("cpus", 16);
  type.memory_gb = line.get("memory", 64);
  type.price = line.get("price", 1);
  type.spot_price = line.get("spot", 0.4);
  type.boot_s = line.get("boot", 2);
  type.fetch_gb_per_s = line.get("fetch", 1);
  type.zones = split(line.text("zones", "a,b"), ',');
  type.capacity = line.get_integer("capacity", 8);
  deployment.world().add_type(type);
}

void team(Deployment& deployment, const Line& line) {
  deployment.world().add_team(line.word(1), {line.get("cpus", 0), line.get("max", 0)});
}

void start(Deployment& deployment, const Line&) { deployment.world().start(); }

void at(Deployment& deployment, const Line& line) {
  World& world = deployment.world();
  world.events().at(line.number_at(1),
                    [&world, action = line.without_words(2)] { run_action(world, action); });
}

void random_faults(Deployment& deployment, const Line& line) {
  World& world = deployment.world();
  standins::schedule_random_faults(world.simulation(), world.controller_count(), world.faults(),
                                   line.get("from", 10), line.get("to", 60),
                                   line.get_integer("count", 8));
}

// Applies to the seeds from `first_seed` on. The runs of the seeds before it do not change.
void random_duplicates(Deployment& deployment, const Line& line) {
  World& world = deployment.world();
  if (static_cast<double>(deployment.options().seed) < line.get("first_seed", 0)) return;
  standins::schedule_random_duplicates(world.simulation(), world.faults(),
                                       deployment.options().lease_s, line.get("from", 10),
                                       line.get("to", 60), line.get_integer("count", 4));
}

void run(Deployment& deployment, const Line& line) {
  deployment.world().run_until(line.number_at(1));
}

void expect(Deployment& deployment, const Line& line) {
  run_expectation(deployment.world(), line.without_words(1));
}

void kind(Deployment&, const Line&) {}  // handled in main.cc

const VerbTable<Deployment>& statements() {
  static const VerbTable<Deployment> kStatements(
      "statement",
      {
          {"kind", {"seeds", "first"}, kind},
          {"world",
           {"controllers", "heartbeat", "lease", "cancel", "gang_wait", "gang_peer", "store_rps",
            "store_write_rps", "transaction_writes", "value_bytes", "announced_write_rps",
            "announced_transaction_writes", "announced_value_bytes", "cloud_rps", "cloud_list_lag",
            "first_version"},
           world},
          {"type", {"cpus", "memory", "price", "spot", "boot", "fetch", "zones", "capacity"}, type},
          {"team", {"cpus", "max"}, team},
          {"start", {}, start},
          {"random_faults", {"from", "to", "count"}, random_faults},
          {"random_duplicates", {"from", "to", "count", "first_seed"}, random_duplicates},
          {"run", {}, run},
      });
  return kStatements;
}

// These statements are not in the table: their parameters are those of an action or an expectation.
bool is_action(const Line& line) { return line.word(0) == "at"; }
bool is_expectation(const Line& line) { return line.word(0) == "expect"; }

void check_statement(const Line& line) {
  if (is_action(line)) {
    line.number_at(1);
    check_action(line.without_words(2));
  } else if (is_expectation(line)) {
    check_expectation(line.without_words(1));
  } else {
    statements().check(line);
  }
}

void run_statement(Deployment& deployment, const Line& line) {
  if (is_action(line))
    at(deployment, line);
  else if (is_expectation(line))
    expect(deployment, line);
  else
    statements().run(deployment, line);
}

}  // namespace

uint64_t run_world(const std::vector<Line>& lines, uint64_t seed, bool verbose) {
  for (const auto& line : lines) check_statement(line);
  WorldOptions options;
  options.seed = seed;
  options.verbose = verbose;
  Deployment deployment(options);
  for (const auto& line : lines) run_statement(deployment, line);
  World& world = deployment.world();
  world.check_end_of_day();
  if (!world.violations().empty()) throw Failure(world.violations().front());
  if (!world.store().violations().empty()) throw Failure(world.store().violations().front());
  return world.cluster().effects_digest();
}

}  // namespace runner
