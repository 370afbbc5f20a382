// Stand-ins for the state service, the cloud and the workers, as PROTOCOL describes them.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>

#include "net.h"

namespace standin {

using nlohmann::json;

// Writes record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  Record(Loop& loop, const std::string& path) : loop_(loop), out_(path) {}
  void line(const std::string& what, const json& fields = json::object()) {
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", loop_.now());
    out_ << time << what << ' ' << fields.dump(-1, ' ', false, json::error_handler_t::replace)
         << '\n';
    out_.flush();
  }

 private:
  Loop& loop_;
  std::ofstream out_;
};

inline std::string query_value(const std::string& target, const std::string& name) {
  const size_t question = target.find('?');
  if (question == std::string::npos) return "";
  std::string rest = "&" + target.substr(question + 1);
  const size_t at = rest.find("&" + name + "=");
  if (at == std::string::npos) return "";
  const size_t from = at + name.size() + 2;
  return rest.substr(from, rest.find('&', from) - from);
}

// A bucket that holds one second's worth (or `seconds` worth) of tokens.
class Bucket {
 public:
  explicit Bucket(double rate, double seconds = 1) : rate_(rate), seconds_(seconds) {
    tokens_ = rate * seconds;
  }
  void set_rate(double rate) { rate_ = rate; }
  bool take(double now, double count) {
    tokens_ = std::min(rate_ * seconds_, tokens_ + (now - last_) * rate_);
    last_ = now;
    if (tokens_ < count) return false;
    tokens_ -= count;
    return true;
  }

 private:
  double rate_, seconds_, tokens_ = 0, last_ = 0;
};

// ---- state service --------------------------------------------------------------------------

struct StoreLimits {
  double rps = 150, write_rps = 50, value_kb = 8;
  size_t txn_ops = 40;
};

class Store {
 public:
  Store(Loop& loop, Record& record, StoreLimits limits)
      : loop_(loop),
        record_(record),
        limits_(limits),
        requests_(limits.rps),
        writes_(limits.write_rps),
        server_(loop, [this](const Message& m, Reply r) { handle(m, std::move(r)); }) {
    expire();
  }
  std::string address() const { return server_.address(); }
  int port() const { return server_.port(); }
  void set_limits(StoreLimits limits) {
    limits_ = limits;
    requests_.set_rate(limits.rps);
    writes_.set_rate(limits.write_rps);
  }
  void set_outage(bool outage) {
    outage_ = outage;
    if (!outage)
      for (auto& [id, lease] : leases_) lease.ends = loop_.now() + lease.ttl;
  }
  double latency = 0.003;
  // Decides what happens to a transaction: empty means the ordinary way. Used by cases.
  std::function<bool(const json& body, Reply& reply)> intercept_transaction;
  uint64_t rejected_as_too_large = 0;
  json last_rejected;
  const json* value(const std::string& key) const {
    auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second.value;
  }
  std::vector<std::string> keys(const std::string& prefix) const {
    std::vector<std::string> result;
    for (auto it = entries_.lower_bound(prefix);
         it != entries_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it)
      result.push_back(it->first);
    return result;
  }
  // Carries out a transaction. Returns the status and the body of the answer.
  std::pair<int, json> transact(const json& body) {
    const json guards = body.value("guards", json::array());
    const json writes = body.value("writes", json::array());
    if (writes.size() > limits_.txn_ops)
      return too_large("writes", writes.size(), guards.size(), body);
    if (guards.size() > limits_.txn_ops * 4)
      return too_large("guards", writes.size(), guards.size(), body);
    if (body.dump().size() > 64 * 1024)
      return too_large("bytes", writes.size(), guards.size(), body);
    for (const json& write : writes)
      if (write.contains("put") &&
          static_cast<double>(write["v"].dump().size()) > limits_.value_kb * 1024)
        return too_large("value", writes.size(), guards.size(), body);
    if (!writes.empty() && !writes_.take(loop_.now(), static_cast<double>(writes.size())))
      return {429, json::object()};
    for (const json& write : writes)
      if (write.contains("hold") && leases_.count(write["hold"].get<uint64_t>()) == 0)
        return {400, {{"error", "no such lease"}}};
    json failed = json::array();
    for (const json& guard : guards) {
      auto it = entries_.find(guard["k"].get<std::string>());
      const uint64_t stamp = it == entries_.end() ? 0 : it->second.stamp;
      if (stamp != guard["stamp"].get<uint64_t>()) failed.push_back(guard["k"]);
    }
    if (!failed.empty()) return {409, {{"failed", failed}, {"epoch", epoch_}}};
    if (writes.empty()) return {200, {{"epoch", epoch_}}};
    ++epoch_;
    for (const json& write : writes) {
      if (write.contains("delete")) {
        remove(write["delete"].get<std::string>());
        continue;
      }
      const std::string key = write["put"].get<std::string>();
      entries_[key] = {write["v"], epoch_, write.value("hold", uint64_t{0})};
      news_.push_back({epoch_, key, write["v"], false});
    }
    wake();
    return {200, {{"epoch", epoch_}}};
  }

 private:
  struct Entry {
    json value;
    uint64_t stamp = 0, hold = 0;
  };
  struct Change {
    uint64_t epoch = 0;
    std::string key;
    json value;
    bool is_delete = false;
  };
  struct Lease {
    double ttl = 0, ends = 0;
  };
  struct Watch {
    std::string prefix;
    uint64_t from = 0;
    double ends = 0;
    Reply reply;
  };
  std::pair<int, json> too_large(const char* what, size_t writes, size_t guards, const json& body) {
    ++rejected_as_too_large;
    json keys = json::array();
    for (const json& write : body["writes"])
      keys.push_back(write.contains("put") ? write["put"] : write["delete"]);
    last_rejected = {{"over", what}, {"writes", writes}, {"guards", guards}, {"keys", keys}};
    if (rejected_as_too_large <= 200) record_.line("state 400", last_rejected);
    return {400, {{"error", "too large"}}};
  }
  void remove(const std::string& key) {
    if (entries_.erase(key) != 0) news_.push_back({epoch_, key, nullptr, true});
  }
  void expire() {
    if (!outage_)
      for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.ends > loop_.now()) {
          ++it;
          continue;
        }
        const uint64_t id = it->first;
        it = leases_.erase(it);
        end_lease(id);
      }
    while (news_.size() > 10000) news_.pop_front();
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (it->ends > loop_.now() || outage_) {
        ++it;
        continue;
      }
      it->reply(200, json{{"epoch", epoch_}, {"news", json::array()}}.dump());
      it = watches_.erase(it);
    }
    loop_.after(0.02, [this] { expire(); });
  }
  void end_lease(uint64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_)
      if (entry.hold == id) keys.push_back(key);
    if (keys.empty()) return;
    ++epoch_;
    for (const std::string& key : keys) remove(key);
    wake();
  }
  json changes(const std::string& prefix, uint64_t from) const {
    json news = json::array();
    for (auto it = std::partition_point(news_.begin(), news_.end(),
                                        [from](const Change& c) { return c.epoch <= from; });
         it != news_.end(); ++it) {
      if (it->key.compare(0, prefix.size(), prefix) != 0) continue;
      if (it->is_delete)
        news.push_back({{"delete", it->key}, {"stamp", it->epoch}});
      else
        news.push_back({{"put", it->key}, {"v", it->value}, {"stamp", it->epoch}});
    }
    return news;
  }
  void wake() {
    if (outage_) return;
    for (auto it = watches_.begin(); it != watches_.end();) {
      json news = changes(it->prefix, it->from);
      if (news.empty()) {
        ++it;
        continue;
      }
      Reply reply = it->reply;
      it = watches_.erase(it);
      reply(200, json{{"epoch", epoch_}, {"news", std::move(news)}}.dump());
    }
  }
  void handle(const Message& m, Reply reply) {
    loop_.after(latency, [this, m, reply] { serve(m, reply); });
  }
  void serve(const Message& m, Reply reply) {
    if (outage_) return reply(503, "{}");
    if (!requests_.take(loop_.now(), 1)) return reply(429, "{}");
    const std::string path = m.target.substr(0, m.target.find('?'));
    if (path == "/txn") {
      const json body = json::parse(m.body, nullptr, false);
      if (!body.is_object()) return reply(400, "{}");
      if (intercept_transaction && intercept_transaction(body, reply)) return;
      auto [status, answer] = transact(body);
      return reply(status, answer.dump());
    }
    if (path == "/watch") {
      const uint64_t from = std::strtoull(query_value(m.target, "from").c_str(), nullptr, 10);
      if (!news_.empty() && news_.size() >= 10000 && from + 1 < news_.front().epoch)
        return reply(410, "{}");
      const std::string prefix = query_value(m.target, "starts");
      json news = changes(prefix, from);
      const double hold = std::atof(query_value(m.target, "hold_ms").c_str()) / 1000;
      if (!news.empty() || hold <= 0)
        return reply(200, json{{"epoch", epoch_}, {"news", std::move(news)}}.dump());
      watches_.push_back({prefix, from, loop_.now() + hold, reply});
      return;
    }
    if (path == "/store") return list(m, reply);
    if (path.rfind("/store/", 0) == 0) {
      auto it = entries_.find(path.substr(7));
      if (it == entries_.end()) return reply(404, json{{"epoch", epoch_}}.dump());
      json answer{{"k", it->first}, {"v", it->second.value}, {"stamp", it->second.stamp}};
      if (it->second.hold != 0) answer["hold"] = it->second.hold;
      return reply(200, answer.dump());
    }
    if (path == "/grants") {
      const json body = json::parse(m.body, nullptr, false);
      const double ttl = body.value("ttl_ms", 0.0) / 1000;
      const uint64_t id = next_lease_++;
      leases_[id] = {ttl, loop_.now() + ttl};
      return reply(200, json{{"hold", id}}.dump());
    }
    if (path.rfind("/grants/", 0) == 0) {
      const uint64_t id = std::strtoull(path.c_str() + 8, nullptr, 10);
      auto it = leases_.find(id);
      if (it == leases_.end()) return reply(404, "{}");
      if (m.method == "DELETE") {
        leases_.erase(it);
        end_lease(id);
      } else {
        it->second.ends = loop_.now() + it->second.ttl;
      }
      return reply(200, "{}");
    }
    reply(400, "{}");
  }
  void list(const Message& m, Reply reply) {
    const std::string prefix = query_value(m.target, "starts");
    const std::string from = query_value(m.target, "from");
    size_t most = std::strtoul(query_value(m.target, "most").c_str(), nullptr, 10);
    if (most == 0 || most > 1000) most = 1000;
    json items = json::array();
    size_t bytes = 0;
    bool truncated = false;
    auto it = from.empty() ? entries_.lower_bound(prefix) : entries_.upper_bound(from);
    for (; it != entries_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
      json item{{"k", it->first}, {"v", it->second.value}, {"stamp", it->second.stamp}};
      bytes += item.dump().size();
      if (items.size() >= most || bytes > 500 * 1024) {
        truncated = true;
        break;
      }
      items.push_back(std::move(item));
    }
    reply(200,
          json{{"items", std::move(items)}, {"truncated", truncated}, {"epoch", epoch_}}.dump());
  }

  Loop& loop_;
  Record& record_;
  StoreLimits limits_;
  Bucket requests_, writes_;
  bool outage_ = false;
  uint64_t epoch_ = 1, next_lease_ = 1;
  std::map<std::string, Entry> entries_;
  std::deque<Change> news_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Watch> watches_;
  Server server_;
};

// ---- jobs, as users and workers know them ---------------------------------------------------

struct JobInfo {
  json body;          // as submitted
  double run_s = 10;  // real run time of a task
  int gang_runs = 0;  // attempts in which the whole gang ran
  bool submitted = false, accepted = false, cancel_asked = false;
  double accepted_at = 0, cancelled_at = -1, done_at = -1;
  std::string last_status;
  std::map<uint32_t, int> done_tasks;
};

struct WorkerTimes {
  double report_s = 3, lease_s = 22, cancel_s = 42, gang_wait_s = 0, gang_peer_s = 0;
};

struct MachineType {
  std::string name;
  double cores = 32, memory_gb = 256, hourly = 2.79, market = 1.07, boot_s = 3, local_gb = 60,
         pull = 2;
  std::vector<std::string> zones;
  double gpus = 0;
};

class Worker;

// The tasks of one attempt of a gang that have their image, by piece.
struct GangAttempt {
  std::map<std::string, Worker*> members;
  bool started = false, broken = false;
};

// What the stand-ins share.
struct Shared {
  Loop& loop;
  Record& record;
  Client& client;
  WorkerTimes times;
  std::map<std::string, std::string> nodes;  // label -> api address
  std::map<std::string, JobInfo> jobs;
  std::mt19937_64 rng{12345};
  std::map<std::pair<std::string, uint64_t>, GangAttempt> gangs;  // by job and attempt
  // Called when a task is on its machine, and when it is not any more.
  std::function<void(Worker&, const std::string& piece, uint64_t attempt)> on_start;
  std::function<void(Worker&, const std::string& piece, uint64_t attempt, const std::string& why)>
      on_end;
  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng); }
  static std::string job_of(const std::string& piece) { return piece.substr(0, piece.find('/')); }
  static uint32_t index_of(const std::string& piece) {
    return static_cast<uint32_t>(std::strtoul(piece.c_str() + piece.find('/') + 1, nullptr, 10));
  }
};

// ---- worker ---------------------------------------------------------------------------------

class Worker {
 public:
  Worker(Shared& shared, std::string perch, const MachineType& type, std::string zone, bool spot,
         int listener, int port)
      : name(std::move(perch)),
        type(type),
        zone(std::move(zone)),
        spot(spot),
        shared_(shared),
        server_(shared.loop, [this](const Message& m, Reply r) { handle(m, std::move(r)); },
                listener, port) {
    session_began_ = shared_.loop.now();
    auto it = shared_.nodes.begin();
    std::advance(it, static_cast<long>(shared_.rng() % shared_.nodes.size()));
    node_ = it->first;
    tick();
  }
  ~Worker() { *alive_ = false; }
  std::string address() const { return server_.address(); }

  struct Task {
    uint64_t attempt = 0;
    std::string status, cause;
    bool saved = false;
    double ends = -1;  // of the present state, by itself
    double mates_gone_at = -1;
    bool on_machine = false;
  };
  const std::string name;
  const MachineType type;
  const std::string zone;
  const bool spot;
  bool connected = true;       // reaches the controllers, and they reach it
  bool fails_tasks = false;    // a faulty machine
  std::optional<double> taken_at;  // when the cloud takes the machine, once announced
  uint64_t session = 1, token = 0, tally = 0;
  uint64_t expired_leases = 0;
  size_t largest_report = 0;
  std::map<int, uint64_t> report_answers;  // by status
  std::map<std::pair<std::string, uint64_t>, Task> tasks;

  // Requests to /commands with starts that were carried out and answered 200.
  std::vector<json> carried_out;
  // The machine stops and is back after `down` seconds under its name, with nothing on it: a new
  // worker, with tenure 1 and no token seen. Its first report follows within a second.
  void restart(double down) {
    shared_.record.line("machine restarts", {{"perch", name}, {"down", down}});
    drop_tasks("machine restarted");
    connected = false;
    ++life_;
    shared_.loop.after(down, [this, alive = alive_] {
      if (!*alive || gone_) return;
      connected = true;
      in_flight_ = false;
      session = 1;
      token = tally = 0;
      session_began_ = shared_.loop.now();
      answered_sent_at_ = last_report_ = -1;
      token_change_at_ = -1000;
      change_pending_ = false;
      not_before_ = 0;
      next_report_ = session_began_ + shared_.uniform(0.5, 1);
      shared_.record.line("machine is back", {{"perch", name}});
    });
  }
  // A copy of a request that was carried out arrives again. Nobody gets the answer.
  void repeat(const json& body) {
    Message copy;
    copy.target = "/commands";
    copy.body = body.dump();
    handle(copy, [this](int status, const std::string&) {
      shared_.record.line("copy arrived", {{"perch", name}, {"would be answered", status}});
    });
  }
  // Cores that no task uses. Exited tasks use none.
  double free_cores() const { return type.cores - cores_used(); }
  // The machine is gone with all that is on it.
  void vanish(const std::string& why) {
    gone_ = true;
    drop_tasks(why);
    server_.shut();
  }
  bool is_gone() const { return gone_; }
  json report() {
    json pieces = json::array();
    for (const auto& [key, task] : tasks) {
      json piece{{"piece", key.first}, {"try", key.second}, {"status", task.status}};
      if (task.status == "exited") {
        piece["cause"] = task.cause;
        if (task.saved) piece["saved"] = true;
      }
      pieces.push_back(std::move(piece));
    }
    json warning = nullptr;
    if (taken_at) warning = std::max(0.0, *taken_at - shared_.loop.now());
    return {{"perch", name},       {"address", address()}, {"build", type.name},
            {"ward", zone},        {"loaners", spot},      {"tenure", session},
            {"tally", ++tally},    {"baton", token},       {"warning_s", warning},
            {"pieces", std::move(pieces)}};
  }
  void changed() { change_pending_ = true; }

 private:
  double cores_used() const {
    double used = 0;
    for (const auto& [key, task] : tasks)
      if (task.status != "exited") used += spec(key.first).value("cores", 0.0);
    return used;
  }
  double memory_used() const {
    double used = 0;
    for (const auto& [key, task] : tasks)
      if (task.status != "exited") used += spec(key.first).value("memory_gb", 0.0);
    return used;
  }
  const json& spec(const std::string& piece) const {
    return shared_.jobs.at(Shared::job_of(piece)).body;
  }
  bool job_exists(const std::string& piece) const {
    auto job = shared_.jobs.find(Shared::job_of(piece));
    return job != shared_.jobs.end() && job->second.submitted;
  }
  bool is_gang(const std::string& piece) const {
    return job_exists(piece) && spec(piece)["shape"] == "ensemble";
  }
  GangAttempt& gang(const std::string& piece, uint64_t attempt) {
    return shared_.gangs[{Shared::job_of(piece), attempt}];
  }
  // A gang starts when the last of its tasks has its image.
  void join_gang(const std::string& piece, uint64_t attempt) {
    GangAttempt& attempt_of = gang(piece, attempt);
    attempt_of.members[piece] = this;
    if (attempt_of.started || attempt_of.broken ||
        attempt_of.members.size() < spec(piece)["pieces"].get<size_t>())
      return;
    attempt_of.started = true;
    const double ends = shared_.loop.now() + shared_.jobs.at(Shared::job_of(piece)).run_s;
    shared_.record.line("gang runs", {{"id", Shared::job_of(piece)}, {"try", attempt}});
    ++shared_.jobs.at(Shared::job_of(piece)).gang_runs;
    for (const auto& [other, worker] : attempt_of.members) {
      Task& task = worker->tasks.at({other, attempt});
      task.status = "running";
      task.ends = ends;
      worker->changed();
    }
  }
  void complete(const std::string& piece, Task& task) {
    shared_.jobs.at(Shared::job_of(piece)).done_tasks[Shared::index_of(piece)] = 1;
    exit_task(piece, task, "done", false);
  }
  // If one task of a gang is done, all are.
  void complete_gang(const std::string& piece, uint64_t attempt) {
    const auto members = gang(piece, attempt).members;
    for (const auto& [other, worker] : members)
      worker->complete(other, worker->tasks.at({other, attempt}));
  }
  // A task of a gang is gone before it is done: the others notice if the gang ran.
  void leave_gang(const std::string& piece, uint64_t attempt) {
    GangAttempt& attempt_of = gang(piece, attempt);
    if (attempt_of.members.erase(piece) == 0 || !attempt_of.started) return;
    attempt_of.broken = true;
    for (const auto& [other, worker] : attempt_of.members) {
      Task& task = worker->tasks.at({other, attempt});
      if (task.status == "running") task.mates_gone_at = shared_.loop.now() + 0.5;
    }
  }
  // A machine gives a fetch up when no task waits for it any more.
  void give_up_fetch(const std::string& image) {
    auto fetch = images_.find(image);
    if (fetch == images_.end() || fetch->second <= shared_.loop.now()) return;
    for (const auto& [key, task] : tasks)
      if (task.status == "pulling" && spec(key.first)["bundle"] == image) return;
    images_.erase(fetch);
    shared_.record.line("fetch given up", {{"perch", name}, {"bundle", image}});
  }
  void set_on_machine(const std::string& piece, Task& task, bool on, const std::string& why) {
    if (!on && why != "done" && is_gang(piece)) leave_gang(piece, task.attempt);
    if (task.on_machine == on) return;
    task.on_machine = on;
    if (on && shared_.on_start) shared_.on_start(*this, piece, task.attempt);
    if (!on && shared_.on_end) shared_.on_end(*this, piece, task.attempt, why);
  }
  void drop_tasks(const std::string& why) {
    for (auto& [key, task] : tasks) set_on_machine(key.first, task, false, why);
    tasks.clear();
    images_.clear();
  }
  void exit_task(const std::string& piece, Task& task, const std::string& cause, bool saved) {
    set_on_machine(piece, task, false, cause);
    task.status = "exited";
    task.cause = cause;
    task.mates_gone_at = -1;
    if (job_exists(piece)) give_up_fetch(spec(piece)["bundle"]);
    task.saved = saved;
    task.ends = -1;
    changed();
  }
  void start(const std::string& piece, uint64_t attempt) {
    if (tasks.count({piece, attempt}) != 0) return;
    Task task;
    task.attempt = attempt;
    auto job = shared_.jobs.find(Shared::job_of(piece));
    std::string refusal;
    if (job == shared_.jobs.end() || !job->second.submitted ||
        Shared::index_of(piece) >= job->second.body["pieces"].get<uint32_t>())
      refusal = "no_such";
    for (const auto& [key, other] : tasks)
      if (key.first == piece) refusal = "busy";
    if (refusal.empty()) {
      const json& body = job->second.body;
      if (cores_used() + body["cores"].get<double>() > type.cores + 1e-6 ||
          memory_used() + body["memory_gb"].get<double>() > type.memory_gb + 1e-6)
        refusal = "no_room";
    }
    Task& added = tasks[{piece, attempt}] = task;
    if (!refusal.empty()) {
      shared_.record.line("refused",
                          {{"perch", name}, {"piece", piece}, {"try", attempt}, {"why", refusal}});
      return exit_task(piece, added, refusal, false);
    }
    added.status = "pulling";
    const json& body = job->second.body;
    const std::string image = body["bundle"].get<std::string>();
    auto cached = images_.find(image);
    const double now = shared_.loop.now();
    if (cached == images_.end())
      cached = images_.emplace(image, now + body["size_gb"].get<double>() / type.pull).first;
    added.ends = std::max(now, cached->second);
    changed();
  }
  void stop(const std::string& piece, uint64_t attempt, double mercy) {
    auto it = tasks.find({piece, attempt});
    if (it == tasks.end() || it->second.status == "exited") return;
    Task& task = it->second;
    const json& body = spec(piece);
    const double flush = body["flush_s"].get<double>();
    if (task.status == "saving" && mercy > 0) return;
    if (task.status == "running" && body["snapshot_s"].get<double>() > 0 && mercy >= flush &&
        mercy > 0) {
      task.status = "saving";
      task.ends = shared_.loop.now() + flush;
      return changed();
    }
    exit_task(piece, task, "stopped", false);
  }
  void execute(const json& orders) {
    for (const json& order : orders) {
      const std::string verb = order["verb"], piece = order["piece"];
      const uint64_t attempt = order["try"];
      if (verb == "start") {
        start(piece, attempt);
      } else if (verb == "stop") {
        stop(piece, attempt, order.value("mercy_s", 0.0));
      } else if (verb == "reap") {
        auto it = tasks.find({piece, attempt});
        if (it != tasks.end() && it->second.status == "exited") tasks.erase(it);
      }
    }
    advance();
  }
  void see_token(uint64_t seen) {
    if (seen <= token) return;
    token = seen;
    if (shared_.loop.now() - token_change_at_ > shared_.times.lease_s / 2) {
      token_change_at_ = shared_.loop.now();
      changed();
    }
  }
  // States that end by themselves.
  void advance() {
    const double now = shared_.loop.now();
    for (auto& [key, task] : tasks) {
      if (task.mates_gone_at >= 0 && task.mates_gone_at <= now && task.status == "running") {
        exit_task(key.first, task, "mates_gone", false);
        continue;
      }
      if (task.ends < 0 || task.ends > now) continue;
      const JobInfo& job = shared_.jobs.at(Shared::job_of(key.first));
      if (task.status == "pulling" && is_gang(key.first)) {
        task.status = "gathering";
        task.ends = now + shared_.times.gang_wait_s;
        set_on_machine(key.first, task, true, "");
        changed();
        join_gang(key.first, key.second);
      } else if (task.status == "gathering") {
        exit_task(key.first, task, "alone", false);
      } else if (task.status == "pulling") {
        task.status = "running";
        task.ends = job.body["shape"] == "service" ? -1 : now + job.run_s;
        const auto done = shared_.jobs.at(Shared::job_of(key.first)).done_tasks;
        set_on_machine(key.first, task, true, "");
        if (fails_tasks)
          exit_task(key.first, task, "error", false);
        else if (done.count(Shared::index_of(key.first)) != 0)
          exit_task(key.first, task, "done", false);
        else
          changed();
      } else if (task.status == "running") {
        if (is_gang(key.first))
          complete_gang(key.first, key.second);
        else
          complete(key.first, task);
      } else if (task.status == "saving") {
        exit_task(key.first, task, "stopped", true);
      }
    }
  }
  void tick() {
    if (gone_) return;
    const double now = shared_.loop.now();
    advance();
    if (now - std::max(answered_sent_at_, session_began_) > shared_.times.lease_s) {
      ++expired_leases;
      shared_.record.line("lease expired",
                          {{"perch", name}, {"tenure", session}, {"tasks", tasks.size()}});
      auto kept = images_;
      drop_tasks("lease expired");
      images_ = kept;
      ++session;
      session_began_ = now;
      answered_sent_at_ = -1;
      changed();
    }
    const bool due = now >= next_report_ || (change_pending_ && now >= last_report_ + 0.5);
    if (due && !in_flight_ && now >= not_before_) send_report();
    shared_.loop.after(0.02, [this, alive = alive_] {
      if (*alive) tick();
    });
  }
  void send_report() {
    const double now = shared_.loop.now();
    last_report_ = now;
    next_report_ = now + shared_.times.report_s * shared_.uniform(0.75, 1.25);
    change_pending_ = false;
    in_flight_ = true;
    const std::string body = report().dump();
    largest_report = std::max(largest_report, body.size());
    const uint64_t sent_session = session;
    auto done = [this, alive = alive_, life = life_, now, sent_session,
                 size = body.size()](const Message& m) {
      if (!*alive || gone_ || life != life_) return;
      in_flight_ = false;
      on_answer(m, now, sent_session, size);
    };
    if (!connected) {
      shared_.loop.after(4, [done] { done({}); });
      return;
    }
    shared_.client.request(shared_.nodes.at(node_), "POST", "/agent/beat", body, 4, done);
  }
  void next_node() {
    auto it = shared_.nodes.upper_bound(node_);
    node_ = it == shared_.nodes.end() ? shared_.nodes.begin()->first : it->first;
    not_before_ = shared_.loop.now() + 1;
    next_report_ = not_before_;
  }
  void on_answer(const Message& m, double sent_at, uint64_t sent_session, size_t size) {
    ++report_answers[m.status];
    const json body = json::parse(m.body, nullptr, false);
    if (m.status == 421 && body.is_object()) {
      const std::string steward = body.value("steward", "");
      if (steward.empty() || steward == node_ || shared_.nodes.count(steward) == 0)
        return next_node();
      node_ = steward;
      not_before_ = next_report_ = shared_.loop.now() + shared_.uniform(0, 0.5);
      return;
    }
    if (m.status != 200 || !body.is_object()) {
      if (m.status != 503 && m.status != 0)
        shared_.record.line("report answered", {{"perch", name},
                                                {"node", node_},
                                                {"status", m.status},
                                                {"bytes", size},
                                                {"tasks", tasks.size()}});
      return next_node();
    }
    if (!body.contains("baton") || body["baton"].get<uint64_t>() < token) return;
    if (sent_session != session) return;
    see_token(body["baton"].get<uint64_t>());
    answered_sent_at_ = std::max(answered_sent_at_, sent_at);
    execute(body.value("orders", json::array()));
  }
  void handle(const Message& m, Reply reply) {
    if (!connected || gone_) return;  // no answer
    if (m.target == "/inspect") return reply(200, report().dump());
    if (m.target != "/commands") return reply(404, "{}");
    const json body = json::parse(m.body, nullptr, false);
    if (!body.is_object() || !body.contains("baton") || !body.contains("tenure"))
      return reply(400, "{}");
    const uint64_t baton = body["baton"];
    const bool old = baton < token;
    see_token(baton);
    if (old || body["tenure"].get<uint64_t>() != session) return reply(409, report().dump());
    const json orders = body.value("orders", json::array());
    for (const json& order : orders)
      if (order["verb"] == "start") {
        carried_out.push_back(body);
        break;
      }
    execute(orders);
    reply(200, report().dump());
  }

  Shared& shared_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::string node_;
  int life_ = 0;  // of the machine
  bool gone_ = false, in_flight_ = false, change_pending_ = true;
  double session_began_ = 0, answered_sent_at_ = -1, last_report_ = -10, next_report_ = 0,
         not_before_ = 0, token_change_at_ = -1000;
  std::map<std::string, double> images_;  // when it is or will be there
  Server server_;
};

// ---- cloud ----------------------------------------------------------------------------------

class Cloud {
 public:
  struct Machine {
    std::string id, zone;
    const MachineType* type = nullptr;
    bool spot = false;
    int listener = -1, port = 0;  // bound from the start; silent until the machine is up
    double rented_at = 0, boots_at = 0, gone_at = -1, died_at = -1;
    std::unique_ptr<Worker> worker;
  };
  Cloud(Shared& shared, std::vector<MachineType> types, double rps, double lag)
      : shared_(shared),
        types_(std::move(types)),
        requests_(rps, 2),
        lag_(lag),
        server_(shared.loop, [this](const Message& m, Reply r) {
          shared_.loop.after(0.1, [this, m, r] { serve(m, r); });
        }) {
    tick();
  }
  std::string address() const { return server_.address(); }
  // Machines that can be had: (type, zone, spot) -> count. What is not named can't be had.
  std::map<std::tuple<std::string, std::string, bool>, int> capacity;
  bool outage = false;
  std::map<std::string, Machine> machines;
  std::vector<Worker*> workers() {
    std::vector<Worker*> result;
    for (auto& [id, machine] : machines)
      if (machine.worker && !machine.worker->is_gone()) result.push_back(machine.worker.get());
    return result;
  }
  void take(const std::string& id, const std::string& why) {
    Machine& machine = machines.at(id);
    if (machine.gone_at >= 0) return;
    machine.gone_at = shared_.loop.now();
    if (machine.worker) machine.worker->vanish(why);
    shared_.record.line("machine gone", {{"perch", id}, {"why", why}});
  }
  // The machine stops with all that is on it. It is listed as running for 30 s more, then as failed
  // until it is deleted.
  void die(const std::string& id) {
    Machine& machine = machines.at(id);
    if (machine.gone_at >= 0 || machine.died_at >= 0) return;
    machine.died_at = shared_.loop.now();
    if (machine.worker) machine.worker->vanish("machine died");
    shared_.record.line("machine died", {{"perch", id}});
  }

 private:
  void tick() {
    for (auto& [id, machine] : machines) {
      if (machine.worker || machine.gone_at >= 0 || machine.died_at >= 0 ||
          shared_.loop.now() < machine.boots_at) continue;
      machine.worker =
          std::make_unique<Worker>(shared_, id, *machine.type, machine.zone, machine.spot,
                                   machine.listener, machine.port);
      shared_.record.line("machine up", {{"perch", id},
                                         {"build", machine.type->name},
                                         {"ward", machine.zone},
                                         {"loaners", machine.spot}});
    }
    shared_.loop.after(0.1, [this] { tick(); });
  }
  void serve(const Message& m, Reply reply) {
    if (outage) return reply(503, R"({"error":"trouble"})");
    if (!requests_.take(shared_.loop.now(), 1)) return reply(429, "{}");
    const std::string path = m.target.substr(0, m.target.find('?'));
    const json body = json::parse(m.body.empty() ? "{}" : m.body, nullptr, false);
    if (path == "/catalog") {
      json builds = json::array();
      for (const MachineType& t : types_)
        builds.push_back({{"label", t.name},
                          {"cores", t.cores},
                          {"gpus", t.gpus},
                          {"memory_gb", t.memory_gb},
                          {"local_gb", t.local_gb},
                          {"pull_gb_per_s", t.pull},
                          {"hourly", t.hourly},
                          {"market_price", t.market},
                          {"ready_s", t.boot_s},
                          {"wards", t.zones}});
      return reply(200, json{{"builds", builds}}.dump());
    }
    if (path == "/hosts/release") {
      for (const json& id : body["perches"])
        if (machines.count(id.get<std::string>()) != 0) take(id.get<std::string>(), "released");
      return reply(200, "{}");
    }
    if (path == "/hosts" && m.method == "POST") return rent(body, reply);
    if (path == "/hosts") return list(m, reply);
    reply(404, "{}");
  }
  void rent(const json& body, Reply reply) {
    const std::string hire = body["hire"];
    auto known = hires_.find(hire);
    if (known != hires_.end()) return reply(200, json{{"perches", known->second}}.dump());
    const MachineType* type = nullptr;
    for (const MachineType& t : types_)
      if (t.name == body["build"]) type = &t;
    if (type == nullptr) return reply(400, "{}");
    const std::string zone = body["ward"];
    const bool spot = body["loaners"];
    int held = 0;
    for (const auto& [id, machine] : machines)
      if (machine.gone_at < 0 && machine.died_at < 0 && machine.type == type && machine.zone == zone &&
          machine.spot == spot)
        ++held;
    auto limit = capacity.find({type->name, zone, spot});
    const int count = std::min(std::min(body["how_many"].get<int>(), 50),
                               (limit == capacity.end() ? 0 : limit->second) - held);
    if (count <= 0) return reply(503, R"({"error":"no capacity"})");
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i) {
      char id[32];
      std::snprintf(id, sizeof id, "n-%06d", next_machine_++);
      Machine& machine = machines[id];
      machine.id = id;
      machine.zone = zone;
      machine.type = type;
      machine.spot = spot;
      machine.listener = listen_on(machine.port);
      machine.rented_at = shared_.loop.now();
      machine.boots_at = machine.rented_at + type->boot_s * shared_.uniform(0.6, 1.5);
      ids.push_back(id);
    }
    hires_[hire] = ids;
    shared_.record.line("rented", {{"hire", hire}, {"build", type->name}, {"count", count}});
    reply(200, json{{"perches", ids}}.dump());
  }
  void list(const Message& m, Reply reply) {
    const std::string from = query_value(m.target, "from");
    size_t most = std::strtoul(query_value(m.target, "most").c_str(), nullptr, 10);
    if (most == 0 || most > 500) most = 500;
    const double as_of = shared_.loop.now() - lag_;
    json perches = json::array();
    bool truncated = false;
    for (auto it = machines.upper_bound(from); it != machines.end(); ++it) {
      const Machine& machine = it->second;
      if (machine.rented_at > as_of || (machine.gone_at >= 0 && machine.gone_at <= as_of)) continue;
      if (perches.size() >= most) {
        truncated = true;
        break;
      }
      json perch{{"id", machine.id},
                 {"build", machine.type->name},
                 {"ward", machine.zone},
                 {"loaners", machine.spot},
                 {"status", machine.died_at >= 0 && machine.died_at + 30 <= as_of ? "failed"
                            : machine.boots_at <= as_of                           ? "running"
                                                                                  : "booting"},
                 {"held_s", as_of - machine.rented_at}};
      perch["address"] = "127.0.0.1:" + std::to_string(machine.port);
      perches.push_back(std::move(perch));
    }
    reply(200, json{{"perches", perches}, {"truncated", truncated}}.dump());
  }

  Shared& shared_;
  std::vector<MachineType> types_;
  Bucket requests_;
  double lag_;
  int next_machine_ = 1;
  std::map<std::string, std::vector<std::string>> hires_;
  Server server_;
};

}  // namespace standin
