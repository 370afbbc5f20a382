#include "standins/worker.h"

#include <algorithm>

namespace standins {

using nlohmann::json;

Worker::Worker(const CloudMachine& m, const TypeSpec& t, double report_s, double lease_s,
               Hooks hooks)
    : name(m.name),
      address(m.address),
      type(m.type),
      zone(m.zone),
      spot(m.spot),
      spec_(t),
      report_s_(report_s),
      lease_s_(lease_s),
      hooks_(std::move(hooks)) {}

double Worker::free_cpus() const {
  double f = spec_.cpus;
  for (const auto& t : tasks_)
    if (t.phase != Task::kExited) f -= hooks_.job(t.key.job)->cpus;
  return f;
}

double Worker::free_memory() const {
  double f = spec_.memory_gb;
  for (const auto& t : tasks_)
    if (t.phase != Task::kExited) f -= hooks_.job(t.key.job)->memory_gb;
  return f;
}

void Worker::exit(Task& t, const std::string& cause) {
  const bool was_on = t.phase == Task::kRunning || t.phase == Task::kSaving;
  t.phase = Task::kExited;
  t.cause = cause;
  changed_ = true;
  if (was_on) hooks_.ended(*this, t.key);
}

void Worker::kill() {
  dead = true;
  for (auto& t : tasks_)
    if (t.phase == Task::kRunning || t.phase == Task::kSaving) hooks_.ended(*this, t.key);
  tasks_.clear();
}

void Worker::end_session(double now) {
  for (auto& t : tasks_)
    if (t.phase == Task::kRunning || t.phase == Task::kSaving) hooks_.ended(*this, t.key);
  tasks_.clear();
  ++session;
  leased_from_ = now;
  changed_ = true;
}

void Worker::advance(double now) {
  if (dead) return;
  if (leased_from_ == 0) leased_from_ = leased_at_first_ = now;
  now_ = now;
  if (now - leased_from_ > lease_s_) end_session(now);
  if (hanging) return;
  for (auto& t : tasks_) {
    const JobTruth* j = hooks_.job(t.key.job);
    if (t.phase == Task::kFetching) {
      const double needed = images_.count(j->image) != 0 ? 0 : j->image_gb / spec_.fetch_gb_per_s;
      if (now - t.since < needed) continue;
      images_.insert(j->image);
      t.phase = Task::kRunning;
      t.since = now;
      t.progress = hooks_.saved(t.key);
      changed_ = true;
      hooks_.started(*this, t.key, t.attempt);
      if (hooks_.completed(t.key)) exit(t, "done");
    } else if (t.phase == Task::kRunning) {
      if (j->fails || faulty) {
        if (now - t.since > 0.3) exit(t, "error");
      } else if (!j->service) {
        const double done = t.progress + now - t.since;
        if (j->checkpoint_s > 0)
          hooks_.save(t.key, std::floor(done / j->checkpoint_s) * j->checkpoint_s);
        if (done >= j->run_s) {
          hooks_.complete(t.key);
          exit(t, "done");
        }
      }
    } else if (t.phase == Task::kSaving && now - t.since >= j->save_s) {
      hooks_.save(t.key, t.progress);
      t.saved = true;
      exit(t, "stopped");
    }
  }
}

bool Worker::wants_to_report(double now) const {
  if (dead || hanging || in_flight || now < next_allowed) return false;
  return now >= next_report || changed_;
}

std::string Worker::make_report(double now, bool beat) {
  ++seq_;
  if (beat) {
    in_flight = true;
    changed_ = false;
    next_allowed = now + 0.5;
    next_report = now + report_s_;
  }
  json pieces = json::array();
  for (const auto& t : tasks_) {
    const char* phase = t.phase == Task::kFetching  ? "pulling"
                        : t.phase == Task::kRunning ? "running"
                        : t.phase == Task::kSaving  ? "saving"
                                                    : "exited";
    json p{{"piece", t.key.job + "/" + std::to_string(t.key.index)},
           {"try", t.attempt},
           {"status", phase}};
    if (t.phase == Task::kExited) p["cause"] = t.cause;
    if (t.saved) p["saved"] = true;
    pieces.push_back(p);
  }
  json r{{"perch", name},        {"address", address}, {"build", type}, {"ward", zone},
         {"loaners", spot},      {"tenure", session},  {"tally", seq_}, {"baton", token},
         {"warning_s", nullptr}, {"pieces", pieces}};
  if (taken_at) r["warning_s"] = std::max(0.0, *taken_at - now);
  return r.dump();
}

void Worker::see_token(uint64_t t) {
  if (t <= token) return;
  token = t;
  if (now_ - last_token_change_ >= lease_s_ / 2) {
    changed_ = true;
    last_token_change_ = now_;
  }
}

void Worker::on_answer(double now, int status, const std::string& body, double sent,
                       uint64_t of_session) {
  in_flight = false;
  if (dead) return;
  json j = json::parse(body, nullptr, false);
  if (status == 200 && j.is_object()) {
    if (of_session != session) return;
    const uint64_t t = j.value("baton", uint64_t{0});
    if (t < token) return;  // dropped: neither executed nor renewing
    see_token(t);
    leased_from_ = sent;
    execute(now, j["orders"]);
    return;
  }
  if (status == 421 && j.is_object() && j.contains("steward")) {
    const auto to = j["steward"].get<std::string>();
    for (size_t i = 0; i < controllers.size(); ++i)
      if (controllers[i] == to && static_cast<int>(i) != at) {
        at = static_cast<int>(i);
        next_report = next_allowed = now + 0.1;
        return;
      }
  }
  at = (at + 1) % static_cast<int>(controllers.size());
  next_report = next_allowed = now + 1;
}

Answer Worker::handle(double now, const std::string& method, const std::string& path,
                      const std::string& body) {
  now_ = now;
  if (method == "GET" && path == "/inspect") return {200, make_report(now, false)};
  json j = json::parse(body, nullptr, false);
  if (!j.is_object() || !j.contains("baton") || !j.contains("tenure")) return {400, "{}"};
  const uint64_t t = j["baton"];
  if (t < token) return {409, make_report(now, false)};
  see_token(t);
  if (j["tenure"].get<uint64_t>() != session) return {409, make_report(now, false)};
  execute(now, j["orders"]);
  return {200, make_report(now, false)};
}

void Worker::execute(double now, const json& orders) {
  for (const auto& o : orders) {
    const auto full = o["piece"].get<std::string>();
    const auto slash = full.rfind('/');
    const TaskKey key{full.substr(0, slash), std::stoi(full.substr(slash + 1))};
    const uint64_t attempt = o["try"];
    const auto verb = o["verb"].get<std::string>();
    auto it = std::find_if(tasks_.begin(), tasks_.end(),
                           [&](const Task& t) { return t.key == key && t.attempt == attempt; });
    if (verb == "start") {
      if (it != tasks_.end()) continue;
      Task t;
      t.key = key;
      t.attempt = attempt;
      t.since = now;
      changed_ = true;
      const JobTruth* j = hooks_.job(key.job);
      const bool other =
          std::any_of(tasks_.begin(), tasks_.end(), [&](const Task& x) { return x.key == key; });
      if (j == nullptr || key.index >= j->tasks) {
        t.phase = Task::kExited;
        t.cause = "no_such";
      } else if (other) {
        t.phase = Task::kExited;
        t.cause = "busy";
      } else if (free_cpus() + 1e-9 < j->cpus) {
        t.phase = Task::kExited;
        t.cause = "no_room";
      }
      tasks_.push_back(t);
    } else if (verb == "stop") {
      if (it == tasks_.end() || it->phase == Task::kExited) continue;
      const JobTruth* j = hooks_.job(key.job);
      const bool can_save = it->phase == Task::kRunning && j->checkpoint_s > 0 &&
                            o.value("mercy_s", 0.0) >= j->save_s && j->save_s > 0;
      if (can_save) {
        it->progress += now - it->since;
        it->phase = Task::kSaving;
        it->since = now;
        changed_ = true;
      } else if (it->phase != Task::kSaving || o.value("mercy_s", 0.0) == 0) {
        exit(*it, "stopped");
      }
    } else if (verb == "reap") {
      if (it != tasks_.end() && it->phase == Task::kExited) {
        tasks_.erase(it);
        changed_ = true;
      }
    }
  }
}

}  // namespace standins
