#include "standins/world.h"

#include <set>
#include <vector>

#include "standins/deployment_settings.h"

namespace standins {

namespace {

constexpr double kStepSeconds = 0.02;  // between steps of machines and checks
constexpr double kStarvationCheckIntervalSeconds = 1;

}  // namespace

World::World(const WorldOptions& options)
    : options_(options),
      simulation_(options.seed),
      network_(simulation_),
      store_(options.store_requests_per_s, options.store_limits),
      cloud_(options.cloud_requests_per_s, options.cloud_list_lag_s),
      cluster_(simulation_, network_, options.verbose),
      ledger_(simulation_, jobs_),
      fleet_(simulation_, network_, cloud_, cluster_, ledger_,
             {options.heartbeat_s, options.lease_s, options.gang_wait_s, options.gang_peer_s}),
      router_(simulation_, network_, cluster_, fleet_, store_, cloud_),
      rules_(simulation_, jobs_, teams_, ledger_, cloud_, options.cancel_s),
      users_(simulation_, network_, cluster_, rules_, jobs_),
      unexpected_requests_(simulation_, cluster_, users_, jobs_),
      faults_(simulation_, options_,
              {network_, cluster_, router_, store_, cloud_, fleet_, ledger_, jobs_, users_,
               unexpected_requests_}),
      starvation_check_(simulation_, jobs_, teams_, ledger_, fleet_),
      end_of_day_checks_(simulation_, jobs_, ledger_, store_, options.controllers) {
  ledger_.add_observer(rules_);
  ledger_.add_observer(users_);
}

void World::start() {
  std::set<std::string> zones;
  for (const auto& type : cloud_.types) zones.insert(type.zones.begin(), type.zones.end());
  cluster_.start(make_settings(options_, {zones.begin(), zones.end()}, teams_),
                 options_.first_version ? ControllerVersion::kFirst : ControllerVersion::kCurrent,
                 router_);
}

void World::run_until(double time) {
  simulation_.events.run_until(time, kStepSeconds, [this] { step(); });
}

void World::step() {
  store_.tick(now());
  cloud_.tick(now());
  fleet_.step();
  rules_.check_cancelled_jobs();
  if (now() < next_starvation_check_) return;
  next_starvation_check_ = now() + kStarvationCheckIntervalSeconds;
  ledger_.record_gang_starts();
  starvation_check_.check(faults_.faults_end());
}

}  // namespace standins
