#include "standins/fault_injector.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace standins {

void FaultInjector::extend_faults(double for_s) {
  faults_end_ = std::max(faults_end_, simulation_.now() + for_s);
}

void FaultInjector::set_temporarily(double& value, double to, double for_s) {
  value = to;
  simulation_.events.after(for_s, [&value] { value = 0; });
}

void FaultInjector::strike_machines(int count, const std::function<bool(Worker&)>& strike) {
  for (const auto& [name, worker] : targets_.fleet.workers()) {
    if (count <= 0) return;
    if (!worker->dead && strike(*worker)) --count;
  }
}

// ---- controllers ---------------------------------------------------------------------------

void FaultInjector::crash(size_t controller, double down_s) {
  extend_faults(down_s);
  targets_.cluster.crash(controller, down_s);
}

void FaultInjector::upgrade(size_t controller, double down_s) {
  targets_.cluster.set_version(controller, ControllerVersion::kPresent);
  crash(controller, down_s);
}

void FaultInjector::downgrade(size_t controller, double down_s) {
  targets_.cluster.set_version(controller, ControllerVersion::kFirst);
  crash(controller, down_s);
}

void FaultInjector::freeze(size_t controller, double for_s) {
  extend_faults(for_s);
  targets_.cluster.freeze_until(controller, simulation_.now() + for_s);
}

// ---- network -------------------------------------------------------------------------------

void FaultInjector::cut(size_t controller, Link link, double for_s, CutMode mode) {
  extend_faults(for_s);
  targets_.network.cut_controller(controller, link, {simulation_.now() + for_s, mode});
}

void FaultInjector::cut_machines(int count, double for_s, CutMode mode, const std::string& zone) {
  extend_faults(for_s);
  strike_machines(count, [&](Worker& worker) {
    MachineLink& link = targets_.network.machine(worker.name);
    if (link.cut.active(simulation_.now()) || (!zone.empty() && worker.zone != zone)) return false;
    link.cut = {simulation_.now() + for_s, mode};
    return true;
  });
}

void FaultInjector::partition_zone(const std::string& zone, size_t controller, double for_s,
                                   CutMode mode) {
  targets_.network.partition_zone(zone, controller, simulation_.now() + for_s);
  cut(controller, Link::kAll, for_s, mode);
  cut_machines(std::numeric_limits<int>::max(), for_s, mode, zone);
}

void FaultInjector::lose_machine_inbound(int count, double for_s) {
  extend_faults(for_s);
  strike_machines(count, [&](Worker& worker) {
    double& until = targets_.network.machine(worker.name).inbound_lost_until;
    if (until > simulation_.now()) return false;
    until = simulation_.now() + for_s;
    return true;
  });
}

void FaultInjector::lose_machine_outbound(int count, double for_s, const std::string& zone) {
  extend_faults(for_s);
  strike_machines(count, [&](Worker& worker) {
    double& until = targets_.network.machine(worker.name).outbound_lost_until;
    if (until > simulation_.now() || (!zone.empty() && worker.zone != zone)) return false;
    until = simulation_.now() + for_s;
    return true;
  });
}

void FaultInjector::lose_answers(double chance, double for_s) {
  extend_faults(for_s);
  set_temporarily(targets_.network.message_faults().lost_answer_chance, chance, for_s);
}

void FaultInjector::delay_temporarily(RandomDelay& delay, double chance, double up_to_s,
                                      double for_s) {
  extend_faults(for_s + up_to_s);
  delay.up_to_s = up_to_s;
  set_temporarily(delay.chance, chance, for_s);
}

void FaultInjector::delay_requests(double chance, double up_to_s, double for_s) {
  delay_temporarily(targets_.network.message_faults().late_requests, chance, up_to_s, for_s);
}

void FaultInjector::delay_transactions(double chance, double up_to_s, double for_s) {
  extend_faults(for_s + up_to_s);
  RandomDelay& delay = targets_.network.message_faults().late_transactions;
  delay.up_to_s = std::max(Network::kMinTransactionDelay, up_to_s);
  set_temporarily(delay.chance, chance, for_s);
}

void FaultInjector::delay_commands(double chance, double up_to_s, double for_s) {
  delay_temporarily(targets_.network.message_faults().late_commands, chance, up_to_s, for_s);
}

void FaultInjector::duplicate_heartbeats(double chance, double up_to_s, double for_s) {
  delay_temporarily(targets_.network.message_faults().duplicate_heartbeats, chance, up_to_s, for_s);
}

// ---- store ---------------------------------------------------------------------------------

void FaultInjector::store_outage(double for_s) {
  extend_faults(for_s);
  targets_.store.set_outage(simulation_.now(), true);
  simulation_.events.after(for_s, [this] { targets_.store.set_outage(simulation_.now(), false); });
}

void FaultInjector::slow_store(double up_to_s, double for_s) {
  extend_faults(for_s);
  set_temporarily(targets_.network.message_faults().store_delay_s, up_to_s, for_s);
}

void FaultInjector::refuse_at_store(size_t controller, double for_s) {
  extend_faults(for_s);
  targets_.router.set_refused_by_store(controller, true);
  simulation_.events.after(
      for_s, [this, controller] { targets_.router.set_refused_by_store(controller, false); });
}

void FaultInjector::lower_store_limits() {
  if (options_.announced_store_limits) targets_.store.set_limits(*options_.announced_store_limits);
}

// ---- cloud and machines --------------------------------------------------------------------

void FaultInjector::cloud_outage(double for_s) {
  extend_faults(for_s);
  targets_.cloud.outage = true;
  simulation_.events.after(for_s, [this] { targets_.cloud.outage = false; });
}

void FaultInjector::never_boot(int count) { targets_.cloud.never_boot = count; }

void FaultInjector::set_capacity(int machines) {
  for (auto& type : targets_.cloud.types) type.capacity = machines;
}

void FaultInjector::reclaim_spot(double share, double notice_s) {
  for (const auto& [name, worker] : targets_.fleet.workers()) {
    if (worker->dead || !worker->spot || simulation_.random.unit() > share) continue;
    if (notice_s > 0)
      worker->reclaim_at = simulation_.now() + notice_s;
    else
      targets_.cloud.reclaim(name);
  }
}

void FaultInjector::hang_machines(int count, double for_s) {
  extend_faults(for_s);
  strike_machines(count, [&](Worker& worker) {
    if (worker.hanging) return false;
    targets_.fleet.hang(worker, for_s);
    return true;
  });
}

void FaultInjector::break_machines(int count) {
  strike_machines(count, [](Worker& worker) { return !std::exchange(worker.faulty, true); });
}

// ---- users ---------------------------------------------------------------------------------

void FaultInjector::cancel_running_jobs(int count, double hang_s) {
  constexpr size_t kMaxHanging = 8;  // machines
  constexpr double kWithin = 0.2;    // s
  std::vector<std::string> running;
  for (const auto& [id, job] : targets_.jobs)
    if (job.accepted() && !job.is_over() && !job.cancel_requested &&
        targets_.ledger.running_tasks(id) > 0)
      running.push_back(id);
  simulation_.random.shuffle(running);
  running.resize(std::min(running.size(), static_cast<size_t>(count)));
  for (const auto& id : running)
    simulation_.events.after(simulation_.random.between(0, kWithin),
                             [this, id] { targets_.users.cancel(id); });
  if (hang_s <= 0) return;
  extend_faults(hang_s);
  for (const auto& machine : machines_of_jobs(running, kMaxHanging))
    targets_.fleet.hang(*targets_.fleet.find(machine), hang_s);
}

std::set<std::string> FaultInjector::machines_of_jobs(const std::vector<std::string>& jobs,
                                                      size_t most) const {
  std::set<std::string> found;
  for (const auto& id : jobs)
    for (const auto& [task, machines] : targets_.ledger.machines_by_task()) {
      if (task.job != id || found.size() >= most) continue;
      for (const auto& [machine, attempt] : machines) found.insert(machine);
    }
  return found;
}

void FaultInjector::cancel_on_completion(double chance, double for_s) {
  targets_.users.set_cancel_on_completion(chance);
  simulation_.events.after(for_s, [this] { targets_.users.set_cancel_on_completion(0); });
}

void FaultInjector::send_odd_requests(double for_s) {
  targets_.odd_requests.send_until(simulation_.now() + for_s);
}

}  // namespace standins
