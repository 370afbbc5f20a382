// A machine is back within a second, and a copy of a start that it had carried out arrives.
#include "../standins-2/world.h"

using namespace standin;

namespace {

constexpr double kEnd = 80;

int run(std::vector<std::string> command, const std::string& record_path) {
  Deployment d;
  d.teams = json::array({{{"name", "desk"}, {"cpus", 0.0}, {"cpus_max", 0.0}}});
  d.objectives = json::array(
      {{{"kind", "wait"}, {"class", "shelf-ledger"}, {"within_s", 2.0}, {"share", 0.9}}});
  d.times = {5, 26.5, 46.5, 0, 0};
  d.store = {200, 70, 8, 40};
  d.cloud_rps = 1.8;
  d.list_lag_s = 12;
  d.types = {{"souk-box", 32, 256, 2.79, 1.07, 3, 60, 2, {"sfax-depot"}, 0}};
  World world(d, std::move(command), record_path);
  world.cloud.capacity[{"souk-box", "sfax-depot", false}] = 6;
  world.start_all();

  const std::string array = "wk-000001", service = "wk-000002";
  world.loop.at(6, [&] {
    json job = World::job(array, "batch", 8, 4);
    job["flock"] = "expiry-sweep";
    job["rank"] = "idle";
    job["guess_s"] = 100.0;
    job["snapshot_s"] = 10.0;
    job["flush_s"] = 1.0;
    world.submit(job, 100);
  });
  Worker* first = nullptr;  // the machine that the array starts on
  std::string moved;        // a task of the array that runs on another machine since
  bool has_repeated = false;
  std::function<void()> step = [&] {
    if (first == nullptr && world.running(array) == 8) {
      first = world.cloud.workers().front();
      // A service of higher priority takes half of that machine: normal preemption.
      json job = World::job(service, "service", 1, 16);
      job["flock"] = "shelf-ledger";
      job["rank"] = "prod";
      job["guess_s"] = 0.0;
      world.submit(job, 0);
    }
    if (first != nullptr && moved.empty())
      for (const auto& [piece, machines] : world.on_machines)
        if (Shared::job_of(piece) == array && machines.size() == 1 &&
            machines.begin()->second == 2 && machines.begin()->first != first->name)
          moved = piece;
    if (!moved.empty() && !has_repeated) {
      has_repeated = true;
      world.loop.after(2, [&] {
        const json* request = nullptr;
        for (const json& body : first->carried_out)
          for (const json& order : body["orders"])
            if (order["verb"] == "start" && order["piece"] == moved && order["try"] == 1)
              request = &body;
        world.record.line("disruption",
                          {{"what", has_trouble() ? "the machine is back, a copy follows" : "none"},
                           {"perch", first->name},
                           {"request", request == nullptr ? json() : *request}});
        if (!has_trouble() || request == nullptr) return;
        const json copy = *request;
        first->restart(0.3);
        world.loop.after(0.6, [&, copy] { first->repeat(copy); });
      });
      world.loop.after(25, [&] { world.loop.stop(); });
      return;
    }
    world.loop.after(0.1, step);
  };
  world.loop.at(7, step);
  world.loop.at(kEnd, [&] { world.loop.stop(); });
  world.loop.run();
  const json seen{{"task that had moved", moved}, {"starts of the array", world.starts[array]}};
  const int result = world.finish(seen.dump());
  return has_repeated ? result : kCannotRun;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, run); }
