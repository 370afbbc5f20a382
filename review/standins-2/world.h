// A small deployment: the project's own controllers as processes, the stand-ins of platform.h, users
// behind a load balancer, and the rules of PROTOCOL as checks.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <filesystem>
#include <iostream>

#include "platform.h"

namespace standin {

// Exit statuses of a case.
constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;

struct Deployment {
  int controllers = 3;
  std::vector<std::string> zones{"sfax-depot"};  // of the controllers
  json teams = json::array();
  json objectives = json::array();
  WorkerTimes times;
  StoreLimits store;
  std::optional<StoreLimits> next;  // announced lower limits (`state.next`)
  double cloud_rps = 1.5, list_lag_s = 2;
  double cores = 0.24, mem_mb = 104;
  int max_sockets = 2000;
  std::vector<MachineType> types;
};

class World {
 public:
  // argv: the program's command as the deploy file has it, without the settings file.
  World(Deployment deployment, std::vector<std::string> command, const std::string& record_path)
      : d(std::move(deployment)),
        record(loop, record_path),
        client(loop),
        shared{loop, record, client, d.times, {}, {}, std::mt19937_64{12345}, {}, {}, {}},
        store(loop, record, d.store),
        cloud(shared, d.types, d.cloud_rps, d.list_lag_s),
        command_(std::move(command)) {
    char folder[] = "/tmp/rooksill-review-XXXXXX";
    if (mkdtemp(folder) == nullptr) throw std::runtime_error("no temporary folder");
    folder_ = folder;
    const std::vector<int> ports = free_ports(static_cast<size_t>(d.controllers) * 2);
    for (int i = 0; i < d.controllers; ++i) {
      Node node;
      node.label = "perch-" + std::to_string(i);
      node.api = "127.0.0.1:" + std::to_string(ports[static_cast<size_t>(i) * 2]);
      node.back = "127.0.0.1:" + std::to_string(ports[static_cast<size_t>(i) * 2 + 1]);
      shared.nodes[node.label] = node.api;
      nodes.push_back(node);
    }
    shared.on_start = [this](Worker& w, const std::string& p, uint64_t a) { started(w, p, a); };
    shared.on_end = [this](Worker& w, const std::string& p, uint64_t a, const std::string& why) {
      ended(w, p, a, why);
    };
  }
  ~World() {
    for (Node& node : nodes)
      if (node.pid > 0) {
        ::kill(node.pid, SIGCONT);
        ::kill(node.pid, SIGKILL);
        ::waitpid(node.pid, nullptr, 0);
      }
    if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(folder_);
  }

  struct Node {
    std::string label, api, back;
    pid_t pid = -1;
    bool wanted = false, ready = false;
    int probes_failed = 0;
    uint64_t crashes = 0;  // ends that nobody asked for
    double started_at = 0;
    uint64_t kills_for_memory = 0;
  };

  Loop loop;
  const Deployment d;
  Record record;
  Client client;
  Shared shared;
  Store store;
  Cloud cloud;
  std::vector<Node> nodes;
  std::vector<std::string> broken;  // rules that were broken, with what was seen
  bool enforce_memory = false;      // as DEPLOY: a process over the limit is killed and restarted
  size_t highest_memory_mb = 0;
  // Addresses under which a controller is told to find others, if not their own (proxies).
  std::function<std::string(const Node& from, const std::string& what, const std::string& address)>
      route = [](const Node&, const std::string&, const std::string& address) { return address; };

  // ---- controllers

  void start_all() {
    for (Node& node : nodes) start(node);
    watch_processes();
    probe();
  }
  void start(Node& node) {
    json settings{{"label", node.label},
                  {"site", d.zones[static_cast<size_t>(&node - nodes.data()) % d.zones.size()]},
                  {"api_addr", node.api},
                  {"back", node.back},
                  {"siblings", json::array()},
                  {"outside",
                   {{"cloud", route(node, "cloud", cloud.address())},
                    {"state", route(node, "state", store.address())}}}};
    for (size_t i = 0; i < nodes.size(); ++i)
      if (nodes[i].label != node.label)
        settings["siblings"].push_back({{"label", nodes[i].label},
                                        {"site", d.zones[i % d.zones.size()]},
                                        {"endpoint", route(node, nodes[i].label, nodes[i].back)}});
    json state{{"rps", d.store.rps},
               {"write_rps", d.store.write_rps},
               {"value_kb", d.store.value_kb},
               {"txn_ops", d.store.txn_ops}};
    if (d.next)
      state["next"] = {{"write_rps", d.next->write_rps},
                       {"value_kb", d.next->value_kb},
                       {"txn_ops", d.next->txn_ops}};
    settings["facts"] = {{"count", d.controllers},
                         {"zones", d.zones},
                         {"teams", d.teams},
                         {"objectives", d.objectives},
                         {"workers",
                          {{"report_s", d.times.report_s},
                           {"lease_s", d.times.lease_s},
                           {"gang_wait_s", d.times.gang_wait_s},
                           {"gang_peer_s", d.times.gang_peer_s},
                           {"cancel_s", d.times.cancel_s}}},
                         {"state", state},
                         {"cloud", {{"rps", d.cloud_rps}, {"list_lag_s", d.list_lag_s}}},
                         {"resources",
                          {{"cores", d.cores}, {"mem_mb", d.mem_mb}, {"max_sockets", d.max_sockets}}},
                         {"clock_error_ms", 100.0}};
    const std::string path = folder_ + "/" + node.label + ".json";
    std::ofstream(path) << settings.dump(1);
    const std::string log = folder_ + "/" + node.label + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 2);
      ::dup2(fd, 1);
      std::vector<char*> argv;
      for (std::string& word : command_) argv.push_back(word.data());
      std::string file = path;
      argv.push_back(file.data());
      argv.push_back(nullptr);
      ::execv(argv[0], argv.data());
      ::_exit(127);
    }
    node.pid = pid;
    node.wanted = true;
    node.started_at = loop.now();
    record.line("controller started", {{"label", node.label}});
  }
  void kill(Node& node) {
    if (node.pid <= 0) return;
    node.wanted = false;
    ::kill(node.pid, SIGKILL);
    ::waitpid(node.pid, nullptr, 0);
    node.pid = -1;
    record.line("controller killed", {{"label", node.label}});
  }
  // Kills the process, which comes back after `delay`.
  void crash(Node& node, double delay) {
    kill(node);
    loop.after(delay, [this, &node] {
      if (node.pid <= 0) start(node);
    });
  }
  Node* node(const std::string& label) {
    for (Node& n : nodes)
      if (n.label == label) return &n;
    return nullptr;
  }
  // The leader and the owner of a partition, as the project's own records in the store have them.
  // Only used to choose which process a disruption hits, as the load balancer's operator could.
  std::string leader() const {
    const json* value = store.value("rk/lead");
    return value == nullptr ? "" : value->value("h", "");
  }
  std::string log_of(const Node& node) const { return folder_ + "/" + node.label + ".log"; }

  // ---- users

  using Answer = std::function<void(int status, const json& body)>;

  // Returns the address that the load balancer picks.
  std::string pick() {
    std::vector<const Node*> healthy;
    for (const Node& node : nodes)
      if (node.ready) healthy.push_back(&node);
    if (healthy.empty()) return "";
    return healthy[shared.rng() % healthy.size()]->api;
  }
  static json job(const std::string& id, const std::string& shape, uint32_t pieces, double cores) {
    return {{"id", id},           {"flock", "class"},    {"owner", "desk"},   {"shape", shape},
            {"rank", "standard"}, {"pieces", pieces},    {"cores", cores},    {"gpus", 0.0},
            {"memory_gb", 0.01},  {"bundle", "img-01"},  {"size_gb", 0.5},    {"builds", nullptr},
            {"ward", nullptr},    {"together", false},   {"spread", false},   {"loaners", false},
            {"guess_s", 10.0},    {"snapshot_s", 0.0},   {"flush_s", 0.0},    {"due_s", nullptr}};
  }
  // Submits as a user does, with retries, and polls until the job is over.
  void submit(const json& body, double run_s, Answer on_accepted = {}) {
    JobInfo& info = shared.jobs[body["id"]];
    info.body = body;
    info.run_s = run_s;
    info.submitted = true;
    try_submit(body["id"], loop.now() + 60, std::move(on_accepted));
  }
  void cancel(const std::string& id, Answer on_cancelled = {}) {
    shared.jobs.at(id).cancel_asked = true;
    try_cancel(id, loop.now() + 60, std::move(on_cancelled));
  }
  // One request to a node the load balancer picks, or to `address`.
  void ask(const std::string& method, const std::string& path, const std::string& body,
           double timeout, Answer answer, std::string address = "") {
    if (address.empty()) address = pick();
    if (address.empty()) {
      loop.after(0.5, [answer] { answer(0, json()); });
      return;
    }
    client.request(address, method, path, body, timeout, [answer](const Message& m) {
      json parsed = json::parse(m.body, nullptr, false);
      if (parsed.is_object() && m.retry_after > 0) parsed["retry_after"] = m.retry_after;
      answer(m.status, parsed);
    });
  }
  void poll_once(const std::string& id) {
    ask("GET", "/api/jobs/" + id, "", 2, [this, id](int status, const json& body) {
      check_answer(id, "poll", status, body);
    });
  }

  // ---- rules

  void broke(const std::string& rule, const json& what) {
    if (std::count_if(broken.begin(), broken.end(), [&](const std::string& seen) {
          return seen.rfind(rule, 0) == 0;
        }) < 20) {
      broken.push_back(rule + " " + what.dump());
      record.line("BROKEN " + rule, what);
    }
  }
  // Where each task is now: piece -> machines.
  std::map<std::string, std::map<std::string, uint64_t>> on_machines;
  std::map<std::string, double> used_by_team;
  std::map<std::string, uint64_t> starts, ends_by_why;  // by job, by reason
  std::map<std::string, double> first_start;            // by job
  size_t running(const std::string& id) const {
    size_t count = 0;
    for (auto it = on_machines.lower_bound(id + "/"); it != on_machines.end(); ++it) {
      if (it->first.compare(0, id.size() + 1, id + "/") != 0) break;
      count += it->second.empty() ? 0 : 1;
    }
    return count;
  }
  bool record_tasks = true;

  // ---- end

  int finish(const std::string& summary) {
    for (Node& node : nodes) {
      json line{{"label", node.label},
                {"ended by itself", node.crashes},
                {"killed for memory", node.kills_for_memory}};
      record.line("controller", line);
    }
    record.line("result", {{"summary", summary}, {"broken", broken}});
    std::cout << (broken.empty() ? "held: " : "BROKEN: ") << summary << "\n";
    for (const std::string& rule : broken) std::cout << "  " << rule << "\n";
    return broken.empty() ? kHeld : kBroken;
  }

 private:
  void watch_processes() {
    for (Node& node : nodes) {
      if (node.pid <= 0) continue;
      if (::waitpid(node.pid, nullptr, WNOHANG) == node.pid) {
        node.pid = -1;
        // It could not start, for example because its port was taken.
        if (loop.now() - node.started_at < 1) throw std::runtime_error(node.label + " cannot start");
        ++node.crashes;
        record.line("controller ended by itself", {{"label", node.label}});
        loop.after(3, [this, &node] {
          if (node.pid <= 0 && node.wanted) start(node);
        });
        continue;
      }
      const size_t memory = memory_mb(node.pid);
      highest_memory_mb = std::max(highest_memory_mb, memory);
      if (enforce_memory && static_cast<double>(memory) > d.mem_mb) {
        ++node.kills_for_memory;
        record.line("controller over its memory",
                    {{"label", node.label}, {"mb", memory}, {"limit", d.mem_mb}});
        crash(node, 3);
      }
    }
    loop.after(0.1, [this] { watch_processes(); });
  }
  // What the process holds itself: anonymous memory, without shared program text.
  static size_t memory_mb(pid_t pid) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(in, line))
      if (line.rfind("RssAnon:", 0) == 0)
        return std::strtoul(line.c_str() + 8, nullptr, 10) / 1024;
    return 0;
  }
  void probe() {
    for (Node& node : nodes)
      client.request(node.api, "GET", "/ready", "", 1, [&node](const Message& m) {
        if (m.status == 200) {
          node.ready = true;
          node.probes_failed = 0;
        } else if (++node.probes_failed >= 2) {
          node.ready = false;
        }
      });
    loop.after(1, [this] { probe(); });
  }
  void try_submit(const std::string& id, double until, Answer on_accepted) {
    const std::string body = shared.jobs.at(id).body.dump();
    ask("POST", "/api/jobs", body, 5,
        [this, id, until, on_accepted](int status, const json& answer) {
          check_answer(id, "submit", status, answer);
          if (status == 200 || status == 201) {
            JobInfo& info = shared.jobs.at(id);
            const bool first = !info.accepted;
            info.accepted = true;
            if (first) info.accepted_at = loop.now();
            if (on_accepted) on_accepted(status, answer);
            if (first) keep_polling(id);
            return;
          }
          if (status == 400 || status == 422) {
            if (on_accepted) on_accepted(status, answer);
            return;
          }
          double pause = 1;
          if (answer.is_object()) pause = std::clamp(answer.value("retry_after", 1.0), 1.0, 30.0);
          if (loop.now() + pause > until) {
            if (on_accepted) on_accepted(0, json());
            return;
          }
          loop.after(pause, [this, id, until, on_accepted] { try_submit(id, until, on_accepted); });
        });
  }
  void try_cancel(const std::string& id, double until, Answer on_cancelled) {
    ask("POST", "/api/jobs/" + id + "/cancel", "", 5,
        [this, id, until, on_cancelled](int status, const json& answer) {
          check_answer(id, "cancel", status, answer);
          if (status == 200) {
            JobInfo& info = shared.jobs.at(id);
            if (answer.value("status", "") == "withdrawn" && info.cancelled_at < 0) {
              info.cancelled_at = loop.now();
              loop.after(d.times.cancel_s, [this, id] { check_gone(id); });
            }
            if (on_cancelled) on_cancelled(status, answer);
          } else if (loop.now() < until) {
            loop.after(1, [this, id, until, on_cancelled] { try_cancel(id, until, on_cancelled); });
          }
        });
  }
  void check_gone(const std::string& id) {
    for (auto it = on_machines.lower_bound(id + "/"); it != on_machines.end(); ++it) {
      if (it->first.compare(0, id.size() + 1, id + "/") != 0) break;
      if (!it->second.empty())
        broke("ran_cancelled", {{"piece", it->first}, {"on", it->second.begin()->first}});
    }
  }
  void keep_polling(const std::string& id) {
    loop.after(5, [this, id] {
      const JobInfo& info = shared.jobs.at(id);
      if (info.last_status == "done" || info.last_status == "withdrawn") return;
      poll_once(id);
      keep_polling(id);
    });
  }
  // The rules about answers.
  void check_answer(const std::string& id, const std::string& what, int status, const json& body) {
    JobInfo& info = shared.jobs[id];
    const std::string state = body.is_object() ? body.value("status", "") : "";
    if (info.last_status != state || status != 200)
      record.line(what, {{"id", id}, {"answer", status}, {"status", state}});
    if (info.accepted && what == "submit" && (status == 400 || status == 422))
      broke("forgotten", {{"id", id}, {"what", what}, {"answer", status}});
    if (info.accepted && what == "poll" && status == 404)
      broke("forgotten", {{"id", id}, {"what", what}, {"answer", status}});
    if (status != 200 && status != 201) return;
    if (!info.submitted) return broke("invented", {{"id", id}, {"answer", body}});
    const std::string& last = info.last_status;
    if ((last == "done" || last == "withdrawn") && state != last)
      broke("went_back", {{"id", id}, {"was", last}, {"now", state}});
    if (state == "withdrawn" && !info.cancel_asked)
      broke("went_back", {{"id", id}, {"now", "withdrawn, not asked for"}});
    if (state == "done" && info.done_tasks.size() < info.body["pieces"].get<size_t>())
      broke("not_done", {{"id", id}, {"tasks done", info.done_tasks.size()}});
    if (state == "done" && info.done_at < 0) info.done_at = loop.now();
    info.last_status = state;
  }
  double team_limit(const std::string& team) const {
    for (const json& t : d.teams)
      if (t["name"] == team) return t.value("cpus_max", 0.0);
    return 0;
  }
  // The rules about tasks. A task is on its machine from when it has its image.
  void started(Worker& worker, const std::string& piece, uint64_t attempt) {
    const std::string id = Shared::job_of(piece);
    const JobInfo& info = shared.jobs.at(id);
    auto& machines = on_machines[piece];
    if (!machines.empty())
      broke("ran_twice", {{"piece", piece},
                          {"on", machines.begin()->first},
                          {"try", machines.begin()->second},
                          {"starts on", worker.name},
                          {"with try", attempt}});
    machines[worker.name] = attempt;
    ++starts[id];
    first_start.emplace(id, loop.now());
    const std::string team = info.body["owner"];
    double& used = used_by_team[team];
    used += info.body["cores"].get<double>();
    const double limit = team_limit(team);
    if (limit > 0 && used > limit + 1e-6)
      broke("quota", {{"team", team}, {"used", used}, {"limit", limit}, {"piece", piece}});
    check_place(worker, id, piece);
    if (info.cancelled_at >= 0 && loop.now() > info.cancelled_at + d.times.cancel_s)
      broke("ran_cancelled", {{"piece", piece}, {"starts on", worker.name}});
    if (record_tasks)
      record.line("task on", {{"piece", piece}, {"try", attempt}, {"perch", worker.name}});
  }
  void check_place(const Worker& worker, const std::string& id, const std::string& piece) {
    const json& body = shared.jobs.at(id).body;
    const json seen{{"piece", piece}, {"on", worker.name}, {"ward", worker.zone}};
    if (worker.spot && !body["loaners"].get<bool>()) broke("wrong_place", seen);
    if (body["ward"].is_string() && body["ward"] != worker.zone) broke("wrong_place", seen);
    if (body["builds"].is_array() &&
        std::find(body["builds"].begin(), body["builds"].end(), worker.type.name) ==
            body["builds"].end())
      broke("wrong_place", seen);
    const bool together = body["together"], spread = body["spread"];
    if (!together && !spread) return;
    uint32_t here = 0;
    for (auto it = on_machines.lower_bound(id + "/"); it != on_machines.end(); ++it) {
      if (it->first.compare(0, id.size() + 1, id + "/") != 0) break;
      for (const auto& [name, attempt] : it->second) {
        const std::string& zone = cloud.machines.at(name).zone;
        if (together && zone != worker.zone) return broke("wrong_place", seen);
        here += zone == worker.zone ? 1 : 0;
      }
    }
    if (spread && here > (body["pieces"].get<uint32_t>() + 1) / 2) broke("wrong_place", seen);
  }
  void ended(Worker& worker, const std::string& piece, uint64_t attempt, const std::string& why) {
    on_machines[piece].erase(worker.name);
    const json& body = shared.jobs.at(Shared::job_of(piece)).body;
    used_by_team[body["owner"]] -= body["cores"].get<double>();
    ++ends_by_why[why];
    if (record_tasks)
      record.line("task off",
                  {{"piece", piece}, {"try", attempt}, {"perch", worker.name}, {"why", why}});
  }

  std::vector<std::string> command_;
  std::string folder_;
};

// Whether the disruption takes place.
inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Runs a case: case PROGRAM ARGUMENT... RECORD, where PROGRAM and its arguments are the deploy
// file's run command.
inline int run_case(int argc, char** argv,
                    int (*body)(std::vector<std::string> command, const std::string& record)) {
  if (argc < 3) return kCannotRun;
  ::signal(SIGPIPE, SIG_IGN);
  try {
    return body(std::vector<std::string>(argv + 1, argv + argc - 1), argv[argc - 1]);
  } catch (const std::exception& error) {
    std::cerr << "cannot run: " << error.what() << "\n";
    return kCannotRun;
  }
}

}  // namespace standin
