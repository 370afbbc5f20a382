// Case 2: one huge array whose tasks must all be in the same zone.
#include "world.h"

using namespace standins;

namespace {
constexpr double kMaxWaitS = 90;  // stated in the pages
}

int main(int argc, char** argv) {
  const Options options = parse_options(argc, argv);
  Record record(options.record);
  Loop loop;
  Facts facts;
  for (int i = 0; i < 8; ++i)
    facts.teams.push_back({{"name", "depot-desk-0" + std::to_string(i)},
                           {"cpus", 0.0},
                           {"cpus_max", 0.0},
                           {"gpus", 0.0},
                           {"gpus_max", 0.0}});
  facts.teams.push_back(
      {{"name", "olive-lab"}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}});
  Store store(loop, facts, record);
  Controllers controllers(loop, facts, record, options.run, options.folder);
  KnownJobs known_jobs;
  const std::vector<MachineType> types{
      {"souk-box", 32, 256, 2.79, 1.07, 20, 60, 0.2, {"sfax-depot", "sousse-depot"}},
      {"medina-rack", 64, 256, 4.07, 1.57, 20, 30, 0.6, {"sousse-depot"}}};
  Cloud cloud(loop, facts, record, types,
              [&](const std::string& name, const MachineType& type, const std::string& zone,
                  bool spot) {
                return std::make_unique<Worker>(loop, facts, record, known_jobs,
                                                controllers.api_ports, controllers.names, name,
                                                type, zone, spot);
              });
  cloud.capacity[{"souk-box", "sfax-depot", false}] = 9;
  cloud.capacity[{"souk-box", "sfax-depot", true}] = 4;
  cloud.capacity[{"souk-box", "sousse-depot", false}] = 11;
  cloud.capacity[{"souk-box", "sousse-depot", true}] = 4;
  cloud.capacity[{"medina-rack", "sousse-depot", false}] = 6;
  cloud.capacity[{"medina-rack", "sousse-depot", true}] = 6;
  cloud.boot_time = [&](int, int k, const MachineType&) { return 1.5 + 0.1 * (k % 5); };

  bool ended = false;
  controllers.on_end = [&](int, const std::string&) { ended = true; };
  controllers.start_all(cloud.address(), store.address(), json::array({"sfax-depot", "sousse-depot"}));
  Users users(loop, record, controllers.api_ports, known_jobs);
  // The huge array is the same in both runs but for `together`.
  loop.after(3, [&] {
    users.submit("wk-000500",
                 {{"flock", "harvest-grid"},
                  {"owner", "olive-lab"},
                  {"rank", "standard"},
                  {"pieces", 12000},
                  {"cores", 4.0},
                  {"memory_gb", 11.0},
                  {"together", options.trouble}},
                 5);
  });
  const std::string id = "wk-000500";
  loop.after(8, [&] { users.poll_until(id, 5, 110); });

  // Room: a machine that is up has had free cores and memory for a task of the job all the time.
  double room_since = -1, room_until = -1;
  std::function<void()> look = [&] {
    bool has_room = false;
    for (const auto& [name, machine] : cloud.machines())
      if (machine.worker->is_up() && machine.worker->free_cpus() >= 4 &&
          machine.worker->free_memory() >= 11)
        has_room = true;
    if (!has_room) room_since = -1;
    if (has_room && room_since < 0) room_since = now_s();
    if (has_room) room_until = now_s();
    loop.after(0.2, look);
  };
  look();
  loop.after(112, [&] { loop.stop(); });
  loop.run();

  const Users::Job& job = users.jobs[id];
  bool began = false;
  for (const auto& answer : job.answers) began = began || answer.running > 0 || answer.done > 0;
  const bool could_run = job.accepted_at >= 0 && !ended && !cloud.machines().empty();
  const double waited =
      began || !could_run || room_since < 0 ? 0 : room_until - std::max(job.accepted_at, room_since);
  const bool broken = waited > kMaxWaitS;
  record.line("result: %s accepted at %.1f, %s, waited %.1f s beside a machine with room; "
              "%d transactions refused; %s",
              id.c_str(), job.accepted_at, began ? "began" : "never began", waited,
              store.refused_transactions,
              !could_run ? "the case could not run" : broken ? "BROKEN" : "held");
  if (!could_run) return 2;
  return broken ? 1 : 0;
}
