// Case 3: a burst of services leaves room for one task on an ordinary machine.
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
  facts.objectives = json::array(
      {{{"kind", "wait"}, {"class", "shelf-ledger"}, {"within_s", 1.0}, {"share", 0.97}},
       {{"kind", "deadline"}, {"class", "expiry-sweep"}, {"share", 0.94}, {"times", 1.0}}});
  Store store(loop, facts, record);
  Controllers controllers(loop, facts, record, options.run, options.folder);
  KnownJobs known_jobs;
  const std::vector<MachineType> types{
      {"souk-box", 32, 256, 2.79, 1.07, 20, 60, 0.2, {"sfax-depot", "sousse-depot"}}};
  Cloud cloud(loop, facts, record, types,
              [&](const std::string& name, const MachineType& type, const std::string& zone,
                  bool spot) {
                return std::make_unique<Worker>(loop, facts, record, known_jobs,
                                                controllers.api_ports, controllers.names, name,
                                                type, zone, spot);
              });
  cloud.capacity[{"souk-box", "sfax-depot", false}] = 1;
  cloud.capacity[{"souk-box", "sousse-depot", false}] = 1;
  cloud.boot_time = [&](int, int, const MachineType&) { return 1.5; };

  bool ended = false;
  controllers.on_end = [&](int, const std::string&) { ended = true; };
  controllers.start_all(cloud.address(), store.address(), json::array({"sfax-depot", "sousse-depot"}));
  Users users(loop, record, controllers.api_ports, known_jobs);
  // Services of one task each. A burst brings three times as many as usual.
  const int services = options.trouble ? 15 : 5;
  loop.after(3, [&] {
    for (int i = 0; i < services; ++i) {
      char id[32];
      std::snprintf(id, sizeof id, "wk-%06d", 1 + i);
      users.submit(id,
                   {{"flock", "shelf-ledger"},
                    {"shape", "service"},
                    {"rank", "prod"},
                    {"memory_gb", 13.0},
                    {"bundle", "img-2"},
                    {"loaners", false},
                    {"guess_s", 0.0}},
                   0);
    }
  });
  const std::string job = "wk-000900";
  loop.after(17, [&] { users.submit(job, {{"due_s", 60.0}}, 10); });
  loop.after(19, [&] { users.poll_until(job, 5, 113); });

  // Room for the job: a machine that is up has had 4 cores and 11 GB free all the time.
  double room_since = -1;
  std::function<void()> look = [&] {
    bool has_room = false;
    for (const auto& [name, machine] : cloud.machines())
      if (machine.worker->is_up() && machine.worker->free_cpus() >= 4 &&
          machine.worker->free_memory() >= 11)
        has_room = true;
    if (!has_room) room_since = -1;
    if (has_room && room_since < 0) room_since = now_s();
    loop.after(0.1, look);
  };
  look();
  loop.after(113.5, [&] { loop.stop(); });
  loop.run();

  const Users::Job& state = users.jobs[job];
  bool began = false;
  for (const auto& answer : state.answers)
    began = began || answer.running > 0 || answer.done > 0 || answer.status == "done";
  for (const auto& [name, machine] : cloud.machines())
    record.line("result: machine %s in %s: %.1f of %.1f cores and %.1f GB free", name.c_str(),
                machine.zone.c_str(), machine.worker->free_cpus(), machine.type.cpus,
                machine.worker->free_memory());
  const bool could_run = state.accepted_at >= 0 && !ended && room_since >= 0;
  const double waited =
      could_run && !began ? now_s() - std::max(state.accepted_at, room_since) : 0;
  const bool broken = waited > kMaxWaitS;
  record.line("result: %s accepted at %.1f, %s, waited %.1f s beside a machine with room; %s",
              job.c_str(), state.accepted_at, began ? "began" : "never began", waited,
              !could_run ? "the case could not run" : broken ? "BROKEN" : "held");
  if (!could_run) return 2;
  return broken ? 1 : 0;
}
