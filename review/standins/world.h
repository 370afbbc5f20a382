// Stand-ins for the state service, the cloud, its machines' workers and users, as PROTOCOL describes
// them, and the controllers as child processes. Everything runs on loopback and the real clock.
#pragma once

#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>

#include "http.h"

namespace standins {

using nlohmann::json;

// What a small deployment sets; the values of qoffa-sfax unless a case changes them.
struct Facts {
  int controllers = 3;
  double state_rps = 150, write_rps = 50, value_kb = 8;
  size_t txn_ops = 40;
  double cloud_rps = 1.5, list_lag_s = 12;
  double report_s = 3, lease_s = 22, cancel_s = 42, gang_wait_s = 50, gang_peer_s = 5;
  json teams = json::array();
  json objectives = json::array();
};

class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
  }
  ~Record() { std::fclose(file_); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::fprintf(file_, "%8.3f ", now_s());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  FILE* file_;
};

inline std::map<std::string, std::string> query_of(const std::string& target) {
  std::map<std::string, std::string> query;
  const auto mark = target.find('?');
  if (mark == std::string::npos) return query;
  std::stringstream parts(target.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&'))
    if (const auto equals = part.find('='); equals != std::string::npos)
      query[part.substr(0, equals)] = part.substr(equals + 1);
  return query;
}

// ---- state service ------------------------------------------------------------------------------

class Store {
 public:
  Store(Loop& loop, const Facts& facts, Record& record)
      : loop_(loop),
        facts_(facts),
        record_(record),
        requests_left_(facts.state_rps),
        writes_left_(facts.write_rps),
        server_(loop, [this](const Message& request, Server::Respond respond) {
          handle(request, std::move(respond));
        }) {
    tick();
  }
  std::string address() const { return server_.address(); }
  const json* value(const std::string& key) const {
    auto it = items_.find(key);
    return it == items_.end() ? nullptr : &it->second.value;
  }
  // Counts of transactions refused with 400 because of a limit, for the record.
  int refused_transactions = 0;

 private:
  struct Item {
    json value;
    uint64_t revision = 0, lease = 0;
  };
  struct Event {
    uint64_t revision = 0;
    std::string key;
    std::optional<json> value;  // absent: deleted
  };
  struct Lease {
    double ttl_s = 0, ends_at = 0;
  };
  struct Watch {
    std::string prefix;
    uint64_t after = 0;
    double ends_at = 0;
    Server::Respond respond;
  };
  static constexpr size_t kKeptEvents = 10000;

  void tick() {
    expire_leases();
    answer_watches();
    loop_.after(0.02, [this] { tick(); });
  }
  void refill() {
    const double now = now_s();
    requests_left_ = std::min(facts_.state_rps, requests_left_ + (now - refilled_at_) * facts_.state_rps);
    writes_left_ = std::min(facts_.write_rps, writes_left_ + (now - refilled_at_) * facts_.write_rps);
    refilled_at_ = now;
  }
  void handle(const Message& request, Server::Respond respond) {
    refill();
    if (requests_left_ < 1) return respond(429, "{}");
    requests_left_ -= 1;
    expire_leases();
    try {
      dispatch(request, respond);
    } catch (const std::exception&) {
      respond(400, "{\"error\":\"malformed\"}");
    }
    answer_watches();
  }
  void dispatch(const Message& request, const Server::Respond& respond) {
    const std::string& target = request.target;
    if (request.method == "GET" && target.rfind("/store/", 0) == 0) {
      const std::string key = target.substr(7);
      auto it = items_.find(key);
      if (it == items_.end()) return respond(404, json{{"epoch", revision_}}.dump());
      json body{{"k", key}, {"v", it->second.value}, {"stamp", it->second.revision}};
      if (it->second.lease != 0) body["hold"] = it->second.lease;
      return respond(200, body.dump());
    }
    if (request.method == "GET" && target.rfind("/store?", 0) == 0) return respond(200, list(target));
    if (request.method == "GET" && target.rfind("/watch", 0) == 0) return watch(target, respond);
    if (request.method == "POST" && target == "/txn") return transact(request.body, respond);
    if (request.method == "POST" && target == "/grants") {
      const double ttl_ms = json::parse(request.body).at("ttl_ms").get<double>();
      if (ttl_ms < 100 || ttl_ms > 600000) return respond(400, "{}");
      leases_[next_lease_] = {ttl_ms / 1000, now_s() + ttl_ms / 1000};
      return respond(200, json{{"hold", next_lease_++}}.dump());
    }
    if (target.rfind("/grants/", 0) == 0) {
      const uint64_t id = std::stoull(target.substr(8));
      auto it = leases_.find(id);
      if (it == leases_.end()) return respond(404, "{}");
      it->second.ends_at = request.method == "DELETE" ? 0 : now_s() + it->second.ttl_s;
      expire_leases();
      return respond(200, "{}");
    }
    respond(400, "{}");
  }
  std::string list(const std::string& target) const {
    auto query = query_of(target);
    const size_t most = query.count("most") != 0 ? std::stoul(query["most"]) : 1000;
    json items = json::array();
    size_t bytes = 0;
    bool truncated = false;
    for (auto it = items_.upper_bound(query["from"]); it != items_.end(); ++it) {
      if (it->first.rfind(query["starts"], 0) != 0) continue;
      json entry{{"k", it->first}, {"v", it->second.value}, {"stamp", it->second.revision}};
      bytes += entry.dump().size();
      if (items.size() >= std::min<size_t>(most, 1000) || bytes > size_t{500} * 1024) {
        truncated = true;
        break;
      }
      items.push_back(std::move(entry));
    }
    return json{{"items", items}, {"truncated", truncated}, {"epoch", revision_}}.dump();
  }
  void transact(const std::string& body, const Server::Respond& respond) {
    const json transaction = json::parse(body);
    const json guards = transaction.value("guards", json::array());
    const json writes = transaction.value("writes", json::array());
    std::string over;
    if (writes.size() > facts_.txn_ops) over = "too many writes";
    if (guards.size() > 4 * facts_.txn_ops) over = "too many conditions";
    if (body.size() > size_t{64} * 1024) over = "too large";
    for (const json& write : writes)
      if (write.contains("put") &&
          write.at("v").dump().size() > static_cast<size_t>(facts_.value_kb * 1024))
        over = "value too large";
    if (!over.empty()) {
      if (refused_transactions++ < 20)
        record_.line("state: 400 to a transaction: %s (%zu conditions, %zu writes, %zu bytes)",
                     over.c_str(), guards.size(), writes.size(), body.size());
      return respond(400, json{{"error", over}}.dump());
    }
    if (writes_left_ < static_cast<double>(writes.size())) return respond(429, "{}");
    writes_left_ -= static_cast<double>(writes.size());
    for (const json& write : writes)
      if (write.contains("hold") && leases_.count(write["hold"].get<uint64_t>()) == 0)
        return respond(400, "{\"error\":\"no such lease\"}");
    json failed = json::array();
    for (const json& guard : guards) {
      auto it = items_.find(guard.at("k").get<std::string>());
      const uint64_t revision = it == items_.end() ? 0 : it->second.revision;
      if (revision != guard.at("stamp").get<uint64_t>()) failed.push_back(guard["k"]);
    }
    if (!failed.empty())
      return respond(409, json{{"failed", failed}, {"epoch", revision_}}.dump());
    if (!writes.empty()) ++revision_;
    for (const json& write : writes) {
      if (write.contains("delete")) {
        erase(write["delete"].get<std::string>());
      } else {
        const auto key = write.at("put").get<std::string>();
        items_[key] = {write.at("v"), revision_, write.value("hold", uint64_t{0})};
        add_event({revision_, key, write.at("v")});
      }
    }
    respond(200, json{{"epoch", revision_}}.dump());
  }
  void erase(const std::string& key) {
    if (items_.erase(key) != 0) add_event({revision_, key, std::nullopt});
  }
  void add_event(Event event) {
    events_.push_back(std::move(event));
    if (events_.size() > kKeptEvents) {
      oldest_kept_ = events_.front().revision;
      events_.pop_front();
    }
  }
  void expire_leases() {
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : leases_)
      if (now_s() >= lease.ends_at) ended.push_back(id);
    for (uint64_t id : ended) {
      leases_.erase(id);
      std::vector<std::string> keys;
      for (const auto& [key, item] : items_)
        if (item.lease == id) keys.push_back(key);
      if (keys.empty()) continue;
      ++revision_;
      for (const auto& key : keys) erase(key);
    }
  }
  void watch(const std::string& target, const Server::Respond& respond) {
    auto query = query_of(target);
    Watch watch{query["starts"], std::stoull(query["from"]), now_s(), respond};
    if (watch.after < oldest_kept_) return respond(410, "{}");
    if (query.count("hold_ms") != 0) watch.ends_at += std::stod(query["hold_ms"]) / 1000;
    watches_.push_back(std::move(watch));
  }
  void answer_watches() {
    std::vector<Watch> waiting, due;
    for (Watch& watch : watches_) {
      const bool changed =
          std::any_of(events_.rbegin(), events_.rend(), [&](const Event& event) {
            return event.revision > watch.after && event.key.rfind(watch.prefix, 0) == 0;
          });
      (changed || now_s() >= watch.ends_at ? due : waiting).push_back(std::move(watch));
    }
    watches_ = std::move(waiting);
    for (const Watch& watch : due) {
      json news = json::array();
      for (const Event& event : events_) {
        if (event.revision <= watch.after || event.key.rfind(watch.prefix, 0) != 0) continue;
        if (event.value)
          news.push_back({{"put", event.key}, {"v", *event.value}, {"stamp", event.revision}});
        else
          news.push_back({{"delete", event.key}, {"stamp", event.revision}});
      }
      watch.respond(200, json{{"epoch", revision_}, {"news", news}}.dump());
    }
  }

  Loop& loop_;
  const Facts& facts_;
  Record& record_;
  double requests_left_, writes_left_, refilled_at_ = 0;
  std::map<std::string, Item> items_;
  std::deque<Event> events_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Watch> watches_;
  uint64_t revision_ = 0, next_lease_ = 1, oldest_kept_ = 0;
  Server server_;
};

// ---- machines -----------------------------------------------------------------------------------

struct MachineType {
  std::string name;
  double cpus = 0, memory_gb = 0, price = 0, spot_price = 0, boot_s = 0;
  double cache_gb = 60, fetch_gb_per_s = 1;
  std::vector<std::string> zones;
};

// What the platform and the users know of a job beyond its submission.
struct KnownJob {
  json spec;
  double run_s = 0;  // real run time of a task; services: until stopped
};
using KnownJobs = std::map<std::string, KnownJob>;

class Worker {
 public:
  Worker(Loop& loop, const Facts& facts, Record& record, const KnownJobs& jobs,
         const std::vector<int>& nodes, const std::vector<std::string>& node_names,
         std::string name, MachineType type, std::string zone, bool spot)
      : loop_(loop),
        facts_(facts),
        record_(record),
        jobs_(jobs),
        nodes_(nodes),
        node_names_(node_names),
        name_(std::move(name)),
        type_(std::move(type)),
        zone_(std::move(zone)),
        spot_(spot),
        server_(loop, [this](const Message& request, Server::Respond respond) {
          serve(request, respond);
        }) {}
  // The machine is up: the session begins.
  void start() {
    up_ = true;
    workers_up().insert(this);
    session_began_ = lease_from_ = now_s();
    node_ = rng()() % nodes_.size();
    schedule_tick();
    send_report();
  }
  // The machine is gone, with everything on it. From now on it is silent: connections hang.
  void end() {
    up_ = false;
    workers_up().erase(this);
    ++life_;
    for (const auto& [piece, task] : tasks_)
      if (task.status != "exited")
        record_.line("machine %s: gone with task %s try %llu", name_.c_str(), piece.c_str(),
                     static_cast<unsigned long long>(task.attempt));
    tasks_.clear();
  }
  const std::string& name() const { return name_; }
  std::string address() const { return server_.address(); }
  bool is_up() const { return up_; }
  double used_cpus() const {
    double used = 0;
    for (const auto& [piece, task] : tasks_)
      if (task.status != "exited") used += task.cpus;
    return used;
  }
  double free_cpus() const { return type_.cpus - used_cpus(); }
  double free_memory() const {
    double used = 0;
    for (const auto& [piece, task] : tasks_)
      if (task.status != "exited") used += task.memory_gb;
    return type_.memory_gb - used;
  }
  const std::string& zone() const { return zone_; }
  const MachineType& type() const { return type_; }
  static std::mt19937_64& rng() {
    static std::mt19937_64 generator(std::random_device{}());
    return generator;
  }

 private:
  struct Task {
    uint64_t attempt = 0;
    std::string status, cause, image;
    double cpus = 0, memory_gb = 0, flush_s = 0, ready_at = 0, ends_at = 0;
    bool saves = false, saved = false, in_gang = false;
    double gathered_at = 0, lost_at = 1e18;  // gang: since when it waits, when it notices a loss
  };
  using Tasks = std::map<std::string, Task>;

  // ---- gangs: tasks of one attempt find each other over all machines that are up.
  static std::set<Worker*>& workers_up() {
    static std::set<Worker*> up;
    return up;
  }
  static std::string job_of(const std::string& piece) { return piece.substr(0, piece.find('/')); }
  static void for_each_member(const std::string& job, uint64_t attempt,
                              const std::function<void(Worker&, const std::string&, Task&)>& visit) {
    for (Worker* worker : workers_up())
      for (auto& [piece, task] : worker->tasks_)
        if (task.attempt == attempt && job_of(piece) == job) visit(*worker, piece, task);
  }
  void tick_gang_task(const std::string& piece, Task& task, const KnownJob& job) {
    const double now = now_s();
    const std::string id = job_of(piece);
    const int pieces = job.spec["pieces"];
    int gathering = 0, alive = 0;
    for_each_member(id, task.attempt, [&](Worker&, const std::string&, Task& member) {
      gathering += member.status == "gathering" ? 1 : 0;
      alive += member.status == "running" || member.status == "saving" ? 1 : 0;
    });
    if (task.status == "pulling" && now >= task.ready_at) {
      cached_.insert(task.image);
      task.status = "gathering";
      task.gathered_at = now;
      changed_ = true;
    } else if (task.status == "gathering" && gathering == pieces) {
      record_.line("gang %s try %llu runs", id.c_str(),
                   static_cast<unsigned long long>(task.attempt));
      for_each_member(id, task.attempt, [&](Worker& worker, const std::string&, Task& member) {
        member.status = "running";
        member.ends_at = now + job.run_s;
        worker.changed_ = true;
      });
    } else if (task.status == "gathering" && now - task.gathered_at > facts_.gang_wait_s) {
      task.cause = "alone";
      exit(piece, task);
    } else if (task.status == "running" && now >= task.ends_at) {
      for_each_member(id, task.attempt, [](Worker& worker, const std::string& name, Task& member) {
        if (member.status != "running") return;
        member.cause = "done";
        worker.exit(name, member);
      });
    } else if (task.status == "running") {
      if (alive < pieces && task.lost_at > 1e17) task.lost_at = now + facts_.gang_peer_s / 2;
      if (now < task.lost_at) return;
      task.cause = "mates_gone";
      exit(piece, task);
    } else if (task.status == "saving" && now >= task.ends_at) {
      task.cause = "stopped";
      task.saved = true;
      exit(piece, task);
    }
  }

  void schedule_tick() {
    loop_.after(0.1, [this, life = life_] {
      if (!up_ || life != life_) return;
      tick();
      schedule_tick();
    });
  }
  void tick() {
    const double now = now_s();
    if (now - lease_from_ > facts_.lease_s) {
      for (const auto& [piece, task] : tasks_)
        if (task.status != "exited")
          record_.line("machine %s: lease ended, task %s try %llu killed", name_.c_str(),
                       piece.c_str(), static_cast<unsigned long long>(task.attempt));
      tasks_.clear();
      ++tenure_;
      tally_ = 0;
      lease_from_ = session_began_ = now;
      changed_ = true;
    }
    for (auto& [piece, task] : tasks_) {
      if (task.in_gang) {
        tick_gang_task(piece, task, jobs_.at(job_of(piece)));
        continue;
      }
      if (task.status == "pulling" && now >= task.ready_at) {
        cached_.insert(task.image);
        task.status = "running";
        const auto job = jobs_.find(piece.substr(0, piece.find('/')));
        task.ends_at = job == jobs_.end() || job->second.run_s <= 0 ? 1e18 : now + job->second.run_s;
        record_.line("machine %s: task %s try %llu runs", name_.c_str(), piece.c_str(),
                     static_cast<unsigned long long>(task.attempt));
        changed_ = true;
      }
      if ((task.status == "running" || task.status == "saving") && now >= task.ends_at) {
        task.cause = task.status == "running" ? "done" : "stopped";
        task.saved = task.status == "saving";
        exit(piece, task);
      }
    }
    if (reporting_) return;
    if (now >= next_report_at_ || (changed_ && now >= last_sent_ + 0.5 && now >= not_before_))
      send_report();
  }
  void exit(const std::string& piece, Task& task) {
    task.status = "exited";
    record_.line("machine %s: task %s try %llu exits: %s", name_.c_str(), piece.c_str(),
                 static_cast<unsigned long long>(task.attempt), task.cause.c_str());
    changed_ = true;
  }
  std::string report() {
    json pieces = json::array();
    for (const auto& [piece, task] : tasks_) {
      json entry{{"piece", piece}, {"try", task.attempt}, {"status", task.status}};
      if (task.status == "exited") entry["cause"] = task.cause;
      if (task.saved) entry["saved"] = true;
      pieces.push_back(std::move(entry));
    }
    return json{{"perch", name_},       {"address", address()}, {"build", type_.name},
                {"ward", zone_},        {"loaners", spot_},     {"tenure", tenure_},
                {"tally", ++tally_},    {"baton", token_},      {"warning_s", nullptr},
                {"pieces", pieces}}
        .dump();
  }
  void send_report() {
    const double now = now_s();
    std::uniform_real_distribution<double> spread(0.75, 1.25);
    next_report_at_ = now + facts_.report_s * spread(rng());
    last_sent_ = now;
    reporting_ = true;
    changed_ = false;
    request(loop_, nodes_[node_], "POST", "/agent/beat", report(), 4,
            [this, now, life = life_, tenure = tenure_](int status, const std::string& body) {
              if (up_ && life == life_) on_response(now, tenure, status, body);
            });
  }
  void on_response(double sent_at, uint64_t tenure, int status, const std::string& body) {
    reporting_ = false;
    const json response = json::parse(body, nullptr, false);
    if (status == 200 && response.is_object()) {
      if (tenure != tenure_) return;
      const uint64_t token = response.value("baton", uint64_t{0});
      if (token == 0 || token < token_) return;
      see_token(token);
      lease_from_ = std::max(lease_from_, sent_at);
      execute(response.value("orders", json::array()));
      return;
    }
    if (status == 421 && response.is_object() && response.contains("steward")) {
      const auto it = std::find(node_names_.begin(), node_names_.end(),
                                response["steward"].get<std::string>());
      if (it != node_names_.end() && static_cast<size_t>(it - node_names_.begin()) != node_) {
        node_ = static_cast<size_t>(it - node_names_.begin());
        next_report_at_ = now_s() + 0.1;
        return;
      }
    }
    node_ = (node_ + 1) % nodes_.size();
    next_report_at_ = not_before_ = now_s() + 1;
  }
  void see_token(uint64_t token) {
    if (token <= token_) return;
    token_ = token;
    if (now_s() - token_change_at_ >= facts_.lease_s / 2) {
      token_change_at_ = now_s();
      changed_ = true;
    }
  }
  void serve(const Message& request, const Server::Respond& respond) {
    if (!up_) return;  // no power: silent
    if (request.method == "GET" && request.target == "/inspect") return respond(200, report());
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("baton") || !body.contains("tenure"))
      return respond(400, "{}");
    if (body["baton"].get<uint64_t>() < token_ || body["tenure"].get<uint64_t>() != tenure_)
      return respond(409, report());
    see_token(body["baton"].get<uint64_t>());
    execute(body.value("orders", json::array()));
    respond(200, report());
  }
  void execute(const json& orders) {
    for (const json& order : orders) {
      const std::string verb = order.at("verb"), piece = order.at("piece");
      const auto attempt = order.at("try").get<uint64_t>();
      auto it = tasks_.find(piece);
      const bool same = it != tasks_.end() && it->second.attempt == attempt;
      if (verb == "start") {
        if (!same) start_task(piece, attempt);
      } else if (verb == "reap") {
        if (same && it->second.status == "exited") tasks_.erase(it);
      } else if (verb == "stop" && same && it->second.status != "exited") {
        Task& task = it->second;
        const double mercy = order.value("mercy_s", 0.0);
        if (task.status == "running" && task.saves && mercy >= task.flush_s && mercy > 0) {
          task.status = "saving";
          task.ends_at = now_s() + task.flush_s;
          changed_ = true;
        } else if (task.status != "saving" || mercy <= 0) {
          task.cause = "stopped";
          exit(piece, task);
        }
      }
    }
  }
  void start_task(const std::string& piece, uint64_t attempt) {
    Task task;
    task.attempt = attempt;
    const auto job = jobs_.find(piece.substr(0, piece.find('/')));
    std::string refused;
    if (job == jobs_.end()) {
      refused = "no_such";
    } else {
      const json& spec = job->second.spec;
      task.cpus = spec["cores"];
      task.memory_gb = spec["memory_gb"];
      task.image = spec["bundle"];
      task.flush_s = spec["flush_s"];
      task.saves = spec["snapshot_s"].get<double>() > 0;
      task.in_gang = spec["shape"] == "ensemble";
      if (tasks_.count(piece) != 0)
        refused = "busy";
      else if (task.cpus > free_cpus() + 1e-9 || task.memory_gb > free_memory() + 1e-9)
        refused = "no_room";
      const double fetch_s = spec["size_gb"].get<double>() / type_.fetch_gb_per_s;
      task.ready_at = now_s() + (cached_.count(task.image) != 0 ? 0 : fetch_s);
    }
    task.status = refused.empty() ? "pulling" : "exited";
    task.cause = refused;
    changed_ = true;
    record_.line("machine %s: task %s try %llu starts%s%s", name_.c_str(), piece.c_str(),
                 static_cast<unsigned long long>(attempt), refused.empty() ? "" : ", refused: ",
                 refused.c_str());
    if (refused != "busy") tasks_[piece] = std::move(task);
  }

  Loop& loop_;
  const Facts& facts_;
  Record& record_;
  const KnownJobs& jobs_;
  const std::vector<int>& nodes_;
  const std::vector<std::string>& node_names_;
  std::string name_;
  MachineType type_;
  std::string zone_;
  bool spot_;
  bool up_ = false, reporting_ = false, changed_ = false;
  uint64_t life_ = 0, tenure_ = 1, tally_ = 0, token_ = 0;
  size_t node_ = 0;
  double session_began_ = 0, lease_from_ = 0, next_report_at_ = 0, last_sent_ = 0, not_before_ = 0;
  double token_change_at_ = -1e9;
  Tasks tasks_;
  std::set<std::string> cached_;
  Server server_;
};

// ---- cloud --------------------------------------------------------------------------------------

class Cloud {
 public:
  struct Machine {
    std::string name, zone;
    MachineType type;
    bool spot = false;
    double rented_at = 0, up_at = 1e18, gone_at = 1e18;
    std::unique_ptr<Worker> worker;
  };
  using MakeWorker = std::function<std::unique_ptr<Worker>(const std::string&, const MachineType&,
                                                           const std::string&, bool)>;
  // Returns the boot time of the k-th machine of the `rental`-th rental (both from 0).
  using BootTime = std::function<double(int rental, int k, const MachineType&)>;

  Cloud(Loop& loop, const Facts& facts, Record& record, std::vector<MachineType> types,
        MakeWorker make_worker)
      : loop_(loop),
        facts_(facts),
        record_(record),
        types_(std::move(types)),
        make_worker_(std::move(make_worker)),
        calls_left_(2 * facts.cloud_rps),
        server_(loop, [this](const Message& request, Server::Respond respond) {
          receive(request, std::move(respond));
        }) {}
  std::string address() const { return server_.address(); }
  BootTime boot_time = [](int, int, const MachineType& type) { return type.boot_s; };
  // Called after a rental was carried out and before it is answered, with its machines.
  std::function<void(const std::vector<std::string>&)> on_rental;
  // Most machines of a type, zone and kind; absent: none.
  std::map<std::tuple<std::string, std::string, bool>, int> capacity;

  // The network between the cloud and the controllers is interrupted for this time: packets of both
  // directions are held and delivered in order afterwards.
  void interrupt(double for_s) {
    record_.line("trouble: network to the cloud interrupted for %.1f s, packets held", for_s);
    held_until_ = now_s() + for_s;
    loop_.after(for_s, [this] {
      record_.line("trouble: network to the cloud works again, %zu packets delivered", held_.size());
      held_until_ = 0;
      auto held = std::move(held_);
      held_.clear();
      for (auto& deliver : held) deliver();
    });
  }
  // The cloud takes a machine back without notice.
  void take(const std::string& name) {
    auto it = machines_.find(name);
    if (it == machines_.end() || it->second.gone_at < 1e17) return;
    record_.line("cloud: takes %s back without notice", name.c_str());
    remove(it->second);
  }
  std::map<std::string, Machine>& machines() { return machines_; }

 private:
  bool is_interrupted() const { return now_s() < held_until_; }
  void receive(const Message& request, Server::Respond respond) {
    if (is_interrupted()) {
      held_.push_back([this, request, respond] { receive(request, respond); });
      return;
    }
    handle(request, [this, respond](int status, const std::string& body) {
      if (!is_interrupted()) return respond(status, body);
      held_.push_back([respond, status, body] { respond(status, body); });
    });
  }
  void handle(const Message& request, const Server::Respond& respond) {
    const double now = now_s();
    calls_left_ = std::min(2 * facts_.cloud_rps, calls_left_ + (now - refilled_at_) * facts_.cloud_rps);
    refilled_at_ = now;
    if (calls_left_ < 1) return respond(429, "{}");
    calls_left_ -= 1;
    const json body = json::parse(request.body, nullptr, false);
    if (request.method == "GET" && request.target == "/catalog") return respond(200, catalog());
    if (request.method == "GET" && request.target.rfind("/hosts", 0) == 0)
      return respond(200, list(request.target));
    if (request.method == "POST" && request.target == "/hosts") return rent(body, respond);
    if (request.method == "POST" && request.target == "/hosts/release") {
      for (const auto& name : body.at("perches")) {
        auto it = machines_.find(name.get<std::string>());
        if (it == machines_.end() || it->second.gone_at < 1e17) continue;
        record_.line("cloud: deletes %s", it->first.c_str());
        remove(it->second);
      }
      return respond(200, "{}");
    }
    respond(400, "{}");
  }
  void remove(Machine& machine) {
    machine.gone_at = now_s();
    machine.worker->end();
  }
  std::string catalog() const {
    json builds = json::array();
    for (const MachineType& type : types_)
      builds.push_back({{"label", type.name},
                        {"cores", type.cpus},
                        {"gpus", 0},
                        {"memory_gb", type.memory_gb},
                        {"local_gb", type.cache_gb},
                        {"pull_gb_per_s", type.fetch_gb_per_s},
                        {"hourly", type.price},
                        {"market_price", type.spot_price},
                        {"ready_s", type.boot_s},
                        {"wards", type.zones}});
    return json{{"builds", builds}}.dump();
  }
  std::string list(const std::string& target) const {
    auto query = query_of(target);
    const size_t most = query.count("most") != 0 ? std::stoul(query["most"]) : 500;
    const double at = now_s() - facts_.list_lag_s;
    json perches = json::array();
    bool truncated = false;
    for (auto it = machines_.upper_bound(query["from"]); it != machines_.end(); ++it) {
      const Machine& machine = it->second;
      if (machine.rented_at > at || machine.gone_at <= at) continue;
      if (perches.size() >= most) {
        truncated = true;
        break;
      }
      perches.push_back({{"id", machine.name},
                         {"address", machine.worker->address()},
                         {"build", machine.type.name},
                         {"ward", machine.zone},
                         {"loaners", machine.spot},
                         {"status", machine.up_at <= at ? "running" : "booting"},
                         {"held_s", at - machine.rented_at}});
    }
    return json{{"perches", perches}, {"truncated", truncated}}.dump();
  }
  void rent(const json& body, const Server::Respond& respond) {
    const std::string hire = body.at("hire");
    if (auto known = rentals_.find(hire); known != rentals_.end()) {
      record_.line("cloud: rental %s repeated, same answer", hire.c_str());
      return respond(200, known->second);
    }
    const std::string build = body.at("build"), zone = body.at("ward");
    const bool spot = body.at("loaners");
    const int wanted = body.at("how_many");
    const auto type = std::find_if(types_.begin(), types_.end(),
                                   [&](const MachineType& t) { return t.name == build; });
    if (type == types_.end() || wanted < 1 || wanted > 50) return respond(400, "{}");
    int held = 0;
    for (const auto& [name, machine] : machines_)
      if (machine.type.name == build && machine.zone == zone && machine.spot == spot &&
          machine.gone_at > 1e17)
        ++held;
    const int count = std::min(wanted, capacity[{build, zone, spot}] - held);
    if (count <= 0) return respond(503, "{\"error\":\"no capacity\"}");
    std::vector<std::string> names;
    std::string text;
    for (int k = 0; k < count; ++k) {
      char name[32];
      std::snprintf(name, sizeof name, "n-%06d", ++last_machine_);
      Machine& machine = machines_[name];
      machine.name = name;
      machine.zone = zone;
      machine.type = *type;
      machine.spot = spot;
      machine.rented_at = now_s();
      machine.worker = make_worker_(name, *type, zone, spot);
      const double boot_s = boot_time(rental_count_, k, *type);
      loop_.after(boot_s, [this, name = machine.name] {
        Machine& booted = machines_[name];
        if (booted.gone_at < 1e17 || booted.up_at < 1e17) return;
        booted.up_at = now_s();
        record_.line("machine %s is up", name.c_str());
        booted.worker->start();
      });
      names.push_back(name);
      text += std::string(" ") + name;
    }
    ++rental_count_;
    record_.line("cloud: rental %s of %d %s %s in %s carried out:%s", hire.c_str(), wanted,
                 spot ? "spot" : "ordinary", build.c_str(), zone.c_str(), text.c_str());
    rentals_[hire] = json{{"perches", names}}.dump();
    if (on_rental) on_rental(names);
    respond(200, rentals_[hire]);
  }

  Loop& loop_;
  const Facts& facts_;
  Record& record_;
  std::vector<MachineType> types_;
  MakeWorker make_worker_;
  double calls_left_, refilled_at_ = 0, held_until_ = 0;
  std::deque<std::function<void()>> held_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> rentals_;
  int last_machine_ = 0, rental_count_ = 0;
  Server server_;
};

// ---- controllers --------------------------------------------------------------------------------

// Starts, watches and ends the controllers. `run` is the command of the deploy file, to which the
// path of the settings is appended.
class Controllers {
 public:
  Controllers(Loop& loop, const Facts& facts, Record& record, std::string run, std::string folder)
      : loop_(loop), facts_(facts), record_(record), folder_(std::move(folder)) {
    std::stringstream words(run);
    for (std::string word; words >> word;) command_.push_back(word);
    const auto ports = free_ports(2 * static_cast<size_t>(facts.controllers));
    for (int i = 0; i < facts.controllers; ++i) {
      names.push_back("perch-" + std::to_string(i));
      api_ports.push_back(ports[2 * static_cast<size_t>(i)]);
      back_ports_.push_back(ports[2 * static_cast<size_t>(i) + 1]);
    }
    pids_.assign(names.size(), 0);
  }
  ~Controllers() {
    for (pid_t pid : pids_)
      if (pid > 0) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
      }
  }
  std::vector<std::string> names;
  std::vector<int> api_ports;
  // Called when a process ended that the test did not end.
  std::function<void(int index, const std::string& how)> on_end;

  void start_all(const std::string& cloud, const std::string& state, const json& zones) {
    for (size_t i = 0; i < names.size(); ++i) write_settings(i, cloud, state, zones);
    for (size_t i = 0; i < names.size(); ++i) start(i);
    poll();
  }
  void start(size_t i) {
    const std::string settings = folder_ + "/" + names[i] + ".json";
    const std::string log = folder_ + "/" + names[i] + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the test, however that ends
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 2);
      ::dup2(fd, 1);
      std::vector<char*> arguments;
      for (std::string& word : command_) arguments.push_back(word.data());
      std::string path = settings;
      arguments.push_back(path.data());
      arguments.push_back(nullptr);
      ::execv(arguments[0], arguments.data());
      ::_exit(127);
    }
    pids_[i] = pid;
    record_.line("platform: starts %s", names[i].c_str());
  }
  void signal(size_t i, int number) {
    if (pids_[i] > 0) ::kill(pids_[i], number);
  }
  void kill(size_t i) {
    if (pids_[i] <= 0) return;
    record_.line("platform: kills %s", names[i].c_str());
    ::kill(pids_[i], SIGKILL);
    ::waitpid(pids_[i], nullptr, 0);
    pids_[i] = 0;
  }
  bool is_running(size_t i) const { return pids_[i] > 0; }
  int back_port(size_t i) const { return back_ports_[i]; }
  // Replaces the address under which the others reach controller `i`, before start_all().
  std::map<std::pair<size_t, size_t>, int> back_port_seen_by;  // {observer, i}

 private:
  void poll() {
    for (size_t i = 0; i < pids_.size(); ++i) {
      int status = 0;
      if (pids_[i] <= 0 || ::waitpid(pids_[i], &status, WNOHANG) != pids_[i]) continue;
      pids_[i] = 0;
      const std::string how =
          WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) + " (" +
                                    strsignal(WTERMSIG(status)) + ")"
                              : "exit status " + std::to_string(WEXITSTATUS(status));
      record_.line("platform: %s ended by itself: %s", names[i].c_str(), how.c_str());
      if (on_end) on_end(static_cast<int>(i), how);
    }
    loop_.after(0.05, [this] { poll(); });
  }
  void write_settings(size_t i, const std::string& cloud, const std::string& state,
                      const json& zones) {
    json siblings = json::array();
    for (size_t k = 0; k < names.size(); ++k) {
      if (k == i) continue;
      auto seen = back_port_seen_by.find({i, k});
      const int port = seen == back_port_seen_by.end() ? back_ports_[k] : seen->second;
      siblings.push_back({{"label", names[k]},
                          {"site", zones[0]},
                          {"endpoint", "127.0.0.1:" + std::to_string(port)}});
    }
    const json settings{
        {"label", names[i]},
        {"site", zones[0]},
        {"api_addr", "127.0.0.1:" + std::to_string(api_ports[i])},
        {"back", "127.0.0.1:" + std::to_string(back_ports_[i])},
        {"siblings", siblings},
        {"outside", {{"cloud", cloud}, {"state", state}}},
        {"facts",
         {{"count", facts_.controllers},
          {"zones", zones},
          {"teams", facts_.teams},
          {"objectives", facts_.objectives},
          {"workers",
           {{"report_s", facts_.report_s},
            {"lease_s", facts_.lease_s},
            {"gang_wait_s", facts_.gang_wait_s},
            {"gang_peer_s", facts_.gang_peer_s},
            {"cancel_s", facts_.cancel_s}}},
          {"state",
           {{"rps", facts_.state_rps},
            {"write_rps", facts_.write_rps},
            {"value_kb", facts_.value_kb},
            {"txn_ops", facts_.txn_ops}}},
          {"cloud", {{"rps", facts_.cloud_rps}, {"list_lag_s", facts_.list_lag_s}}},
          {"resources", {{"cores", 0.24}, {"mem_mb", 104.0}, {"max_sockets", 2000}}},
          {"clock_error_ms", 100.0}}}};
    FILE* file = std::fopen((folder_ + "/" + names[i] + ".json").c_str(), "w");
    const std::string text = settings.dump(1);
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
  }
  Loop& loop_;
  const Facts& facts_;
  Record& record_;
  std::string folder_;
  std::vector<std::string> command_;
  std::vector<int> back_ports_;
  std::vector<pid_t> pids_;
};

// ---- users --------------------------------------------------------------------------------------

// Submits, polls and cancels at nodes in turn, as users do through the load balancer.
class Users {
 public:
  Users(Loop& loop, Record& record, const std::vector<int>& nodes, KnownJobs& jobs)
      : loop_(loop), record_(record), nodes_(nodes), jobs_(jobs) {}

  struct Answer {
    double at = 0;
    int http = 0;
    std::string status;
    int done = 0, running = 0;
  };
  struct Job {
    double submitted_at = 0, accepted_at = -1, first_started_at = -1;
    int refused_status = 0;  // 400 or 422
    std::vector<Answer> answers;
    std::string last_status;
  };
  std::map<std::string, Job> jobs;

  // `changes` replaces fields of an ordinary one-task job.
  void submit(const std::string& id, json changes, double run_s) {
    json spec{{"id", id},          {"flock", "expiry-sweep"}, {"owner", "depot-desk-00"},
              {"shape", "batch"},  {"rank", "standard"},      {"pieces", 1},
              {"cores", 4.0},      {"gpus", 0.0},             {"memory_gb", 11.0},
              {"bundle", "img-1"}, {"size_gb", 0.5},          {"builds", nullptr},
              {"ward", nullptr},   {"together", false},       {"spread", false},
              {"loaners", true},   {"guess_s", run_s},        {"snapshot_s", 0.0},
              {"flush_s", 0.0},    {"due_s", nullptr}};
    spec.update(changes);
    jobs_[id] = {spec, run_s};
    jobs[id].submitted_at = now_s();
    try_submit(id);
  }
  void poll_until(const std::string& id, double every_s, double until) {
    poll(id);
    if (now_s() < until) loop_.after(every_s, [=, this] { poll_until(id, every_s, until); });
  }
  void cancel(const std::string& id) {
    const size_t node = next_node();
    request(loop_, nodes_[node], "POST", "/api/jobs/" + id + "/cancel", "", 5,
            [this, id, node](int status, const std::string& body) {
              record_.line("user: cancel %s at node %zu: %d %s", id.c_str(), node, status, body.c_str());
              if (status != 200) loop_.after(1, [this, id] { cancel(id); });
            });
  }
  void poll(const std::string& id) {
    const size_t node = next_node();
    request(loop_, nodes_[node], "GET", "/api/jobs/" + id, "", 2,
            [this, id, node](int status, const std::string& body) {
              Answer answer{now_s(), status, "", 0, 0};
              const json value = json::parse(body, nullptr, false);
              if (status == 200 && value.is_object()) {
                answer.status = value.value("status", "");
                answer.done = value.value("done", 0);
                answer.running = value.value("running", 0);
              }
              record_.line("user: poll %s at node %zu: %d %s", id.c_str(), node, status, body.c_str());
              jobs[id].answers.push_back(answer);
              if (status == 200) jobs[id].last_status = answer.status;
            });
  }

 private:
  size_t next_node() { return turn_++ % nodes_.size(); }
  void try_submit(const std::string& id) {
    if (now_s() - jobs[id].submitted_at > 60) return;
    const size_t node = next_node();
    request(loop_, nodes_[node], "POST", "/api/jobs", jobs_[id].spec.dump(), 5,
            [this, id, node](int status, const std::string& body) {
              record_.line("user: submit %s at node %zu: %d %s", id.c_str(), node, status, body.c_str());
              Job& job = jobs[id];
              if (status == 200 || status == 201)
                job.accepted_at = now_s();
              else if (status == 400 || status == 422)
                job.refused_status = status;
              else
                loop_.after(1, [this, id] { try_submit(id); });
            });
  }
  Loop& loop_;
  Record& record_;
  const std::vector<int>& nodes_;
  KnownJobs& jobs_;
  size_t turn_ = 0;
};

// Command line of a case: RUN-COMMAND RECORD FOLDER. TROUBLE=0 in the environment: no disruption.
struct Options {
  std::string run, record, folder;
  bool trouble = true;
};
inline Options parse_options(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s RUN-COMMAND RECORD FOLDER\n", argv[0]);
    std::exit(2);
  }
  const char* trouble = std::getenv("TROUBLE");
  ::signal(SIGPIPE, SIG_IGN);
  return {argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
}

}  // namespace standins
