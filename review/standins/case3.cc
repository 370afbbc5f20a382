// Case 3: a gang that needs more than one partition's share of its team's limit, while every
// partition has room for it.
#include "world.h"

using namespace standins;

namespace {
constexpr double kMaxWaitS = 90;  // stated in the pages
constexpr int kGangTasks = 14;
}  // namespace

int main(int argc, char** argv) {
  const Options options = parse_options(argc, argv);
  Record record(options.record);
  Loop loop;
  Facts facts;  // of qoffa-gabes-mill
  facts.state_rps = 80;
  facts.write_rps = 25;
  facts.value_kb = 4;
  facts.txn_ops = 8;
  facts.cloud_rps = 10;
  facts.list_lag_s = 6;
  facts.report_s = 4;
  facts.cancel_s = 47;
  const double limit = 36;
  facts.teams = json::array({{{"name", "yard-crew"},
                              {"cpus", 0.0},
                              {"cpus_max", 0.0},
                              {"gpus", 0.0},
                              {"gpus_max", 0.0}},
                             {{"name", "ledger-circle"},
                              {"cpus", 24.0},
                              {"cpus_max", limit},
                              {"gpus", 0.0},
                              {"gpus_max", 0.0}}});
  const json zones = json::array({"gabes-mill", "mareth-store"});
  Store store(loop, facts, record);
  Controllers controllers(loop, facts, record, options.run, options.folder);
  KnownJobs known_jobs;
  const std::vector<MachineType> types{
      {"tannour-node", 4, 16, 0.24, 0.09, 30, 60, 1, {"gabes-mill", "mareth-store", "kebili-shed"}}};
  Cloud cloud(loop, facts, record, types,
              [&](const std::string& name, const MachineType& type, const std::string& zone,
                  bool spot) {
                return std::make_unique<Worker>(loop, facts, record, known_jobs,
                                                controllers.api_ports, controllers.names, name,
                                                type, zone, spot);
              });
  for (const auto& zone : types.front().zones) cloud.capacity[{"tannour-node", zone, false}] = 40;
  cloud.boot_time = [&](int, int k, const MachineType&) { return 1.5 + 0.01 * k; };

  bool ended = false;
  controllers.on_end = [&](int, const std::string&) { ended = true; };
  controllers.start_all(cloud.address(), store.address(), zones);
  Users users(loop, record, controllers.api_ports, known_jobs);
  // Services of three tasks that leave one core of a machine free. A burst brings three times as
  // many as usual; they are of another team.
  const int services = options.trouble ? 21 : 7;
  loop.after(3, [&] {
    for (int i = 0; i < services; ++i) {
      char id[32];
      std::snprintf(id, sizeof id, "wk-%06d", 1 + i);
      users.submit(id,
                   {{"flock", "scale-board"},
                    {"owner", "yard-crew"},
                    {"shape", "service"},
                    {"rank", "prod"},
                    {"pieces", 3},
                    {"cores", 3.0},
                    {"memory_gb", 4.0},
                    {"bundle", "img-2"},
                    {"loaners", false},
                    {"guess_s", 0.0}},
                   0);
    }
  });
  const std::string gang = "wk-000900";
  loop.after(18, [&] {
    users.submit(gang,
                 {{"flock", "dues-gang"},
                  {"owner", "ledger-circle"},
                  {"shape", "ensemble"},
                  {"pieces", kGangTasks},
                  {"cores", 1.0},
                  {"memory_gb", 1.0},
                  {"loaners", false},
                  {"snapshot_s", 20.0},
                  {"flush_s", 1.0}},
                 20);
  });
  loop.after(20, [&] { users.poll_until(gang, 5, 113); });

  // Room for the whole gang at once: that many machines have had a free core and memory.
  double room_since = -1;
  int fewest = 1 << 20;
  std::function<void()> look = [&] {
    int with_room = 0;
    for (const auto& [name, machine] : cloud.machines())
      if (machine.worker->is_up() && machine.worker->free_cpus() >= 1 &&
          machine.worker->free_memory() >= 1)
        ++with_room;
    if (with_room < kGangTasks) room_since = -1;
    if (with_room >= kGangTasks && room_since < 0) {
      room_since = now_s();
      fewest = with_room;
    }
    fewest = std::min(fewest, with_room);
    loop.after(0.1, look);
  };
  look();
  loop.after(113.5, [&] { loop.stop(); });
  loop.run();

  const Users::Job& state = users.jobs[gang];
  bool began = false;
  for (const auto& answer : state.answers)
    began = began || answer.running > 0 || answer.done > 0 || answer.status == "done";
  const bool could_run = state.accepted_at >= 0 && !ended && !cloud.machines().empty();
  const double waited = could_run && !began && room_since >= 0
                            ? now_s() - std::max(state.accepted_at, room_since)
                            : 0;
  const bool broken = waited > kMaxWaitS;
  record.line("result: gang %s accepted at %.1f, %s, waited %.1f s; its team used 0 of %.0f cores "
              "besides; at least %d machines had room since %.1f; %s",
              gang.c_str(), state.accepted_at, began ? "began" : "never began", waited, limit,
              room_since < 0 ? 0 : fewest, room_since,
              !could_run ? "the case could not run" : broken ? "BROKEN" : "held");
  if (!could_run) return 2;
  return broken ? 1 : 0;
}
