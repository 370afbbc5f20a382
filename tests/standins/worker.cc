#include "standins/worker.h"

#include <algorithm>
#include <cmath>

namespace standins {

using nlohmann::json;

Worker::Worker(const CloudMachine& m, const TypeSpec& t, const Times& times, Hooks hooks)
    : name(m.name),
      address(m.address),
      type(m.type),
      zone(m.zone),
      spot(m.spot),
      spec_(t),
      times_(times),
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

// A task of a running gang that disappears takes the others with it; one of a gang that has not
// started yet can be replaced.
void Worker::leave_gang(const Task& t) {
  const JobTruth* job = hooks_.job(t.key.job);
  if (job == nullptr || !job->gang) return;
  GangAttempt& gang = hooks_.gang(t.key, t.attempt);
  gang.ready.erase(t.key.index);
  if (gang.started >= 0 && gang.lost < 0) gang.lost = now_;
}

void Worker::exit(Task& t, const std::string& cause) {
  const bool was_on = is_on(t);
  t.phase = Task::kExited;
  t.cause = cause;
  changed_ = true;
  if (!was_on) return;
  leave_gang(t);
  hooks_.ended(*this, t.key);
}

void Worker::kill() {
  dead = true;
  for (auto& t : tasks_)
    if (is_on(t)) {
      leave_gang(t);
      hooks_.ended(*this, t.key);
    }
  tasks_.clear();
}

void Worker::end_session(double now) {
  for (auto& t : tasks_)
    if (is_on(t)) {
      leave_gang(t);
      hooks_.ended(*this, t.key);
    }
  tasks_.clear();
  ++agent_epoch;
  leased_from_ = now;
  changed_ = true;
}

void Worker::fetched(Task& t, const JobTruth& job) {
  images_.insert(job.image);
  t.phase = job.gang ? Task::kWaitingForGang : Task::kRunning;
  t.since = now_;
  t.progress = hooks_.saved(t.key);
  changed_ = true;
  hooks_.started(*this, t.key, t.attempt);
  if (hooks_.completed(t.key)) return exit(t, "done");
  if (!job.gang) return;
  GangAttempt& gang = hooks_.gang(t.key, t.attempt);
  gang.ready.insert(t.key.index);
  if (gang.started >= 0 || static_cast<int>(gang.ready.size()) < job.tasks) return;
  gang.started = now_;
  gang.progress = t.progress;
}

void Worker::advance_gang_task(Task& t, const JobTruth& job) {
  GangAttempt& gang = hooks_.gang(t.key, t.attempt);
  if (t.phase == Task::kWaitingForGang) {
    if (gang.started >= 0) {
      t.phase = Task::kRunning;
      changed_ = true;
    } else if (now_ - t.since > times_.gang_wait_s) {
      return exit(t, "alone");
    }
  }
  if (t.phase == Task::kWaitingForGang) return;
  const bool saving = t.phase == Task::kSaving;
  if (saving && now_ - t.since >= job.save_s &&
      (gang.saved ||
       (!gang.hasty && gang.lost < 0 && static_cast<int>(gang.told.size()) == job.tasks))) {
    gang.saved = true;
    hooks_.save(t.key, gang.progress);
    t.saved = true;
    return exit(t, "stopped");
  }
  // What the others notice takes them a while.
  const bool late = gang.stopped >= 0 && now_ - gang.stopped > times_.gang_peer_s && !gang.saved &&
                    static_cast<int>(gang.told.size()) < job.tasks;
  if ((gang.lost >= 0 && !gang.saved && now_ - gang.lost > times_.gang_peer_s / 2) || late)
    return exit(t, "mates_gone");
  if (saving || gang.stopped >= 0) return;
  const double done = gang.progress + now_ - gang.started;
  if (gang.lost < 0 && job.checkpoint_s > 0)
    hooks_.save(t.key, std::floor(done / job.checkpoint_s) * job.checkpoint_s);
  if (done < job.run_s || gang.lost >= 0) return;
  for (int i = 0; i < job.tasks; ++i)
    if (!hooks_.completed({t.key.job, i})) hooks_.complete({t.key.job, i});
  exit(t, "done");
}

void Worker::advance_task(Task& t, const JobTruth& job) {
  if (t.phase == Task::kRunning) {
    if (job.service) return;
    const double done = t.progress + now_ - t.since;
    if (job.checkpoint_s > 0)
      hooks_.save(t.key, std::floor(done / job.checkpoint_s) * job.checkpoint_s);
    if (done >= job.run_s) {
      hooks_.complete(t.key);
      exit(t, "done");
    }
  } else if (t.phase == Task::kSaving && now_ - t.since >= job.save_s) {
    hooks_.save(t.key, t.progress);
    t.saved = true;
    exit(t, "stopped");
  }
}

void Worker::advance(double now) {
  if (dead) return;
  if (leased_from_ == 0) leased_from_ = leased_at_first_ = now;
  now_ = now;
  if (now - leased_from_ > times_.lease_s) end_session(now);
  if (hanging) return;
  for (auto& t : tasks_) {
    if (t.phase == Task::kExited) continue;
    const JobTruth& job = *hooks_.job(t.key.job);
    if (t.phase == Task::kFetching) {
      const double needed = images_.count(job.image) != 0 ? 0 : job.image_gb / spec_.fetch_gb_per_s;
      if (now - t.since >= needed) fetched(t, job);
      continue;
    }
    if (job.fails || faulty) {
      if (now - t.since > 0.3) exit(t, "error");
    } else if (job.gang) {
      if (hooks_.completed(t.key))
        exit(t, "done");
      else
        advance_gang_task(t, job);
    } else {
      advance_task(t, job);
    }
  }
}

bool Worker::wants_to_report(double now) const {
  if (dead || hanging || in_flight || now < next_allowed) return false;
  return now >= next_report || changed_;
}

std::string Worker::make_report(double now, bool heartbeat) {
  ++seq_;
  if (heartbeat) {
    in_flight = true;
    changed_ = false;
    next_allowed = now + 0.5;
    next_report = now + times_.report_s;
  }
  json pieces = json::array();
  for (const auto& t : tasks_) {
    const char* phase = t.phase == Task::kFetching         ? "pulling"
                        : t.phase == Task::kWaitingForGang ? "gathering"
                        : t.phase == Task::kRunning        ? "running"
                        : t.phase == Task::kSaving         ? "saving"
                                                           : "exited";
    json p{{"piece", t.key.job + "/" + std::to_string(t.key.index)},
           {"try", t.attempt},
           {"status", phase}};
    if (t.phase == Task::kExited) p["cause"] = t.cause;
    if (t.saved) p["saved"] = true;
    pieces.push_back(p);
  }
  json r{{"perch", name},        {"address", address},    {"build", type}, {"ward", zone},
         {"loaners", spot},      {"tenure", agent_epoch}, {"tally", seq_}, {"baton", fencing_token},
         {"warning_s", nullptr}, {"pieces", pieces}};
  if (taken_at) r["warning_s"] = std::max(0.0, *taken_at - now);
  return r.dump();
}

void Worker::see_token(uint64_t t) {
  if (t <= fencing_token) return;
  fencing_token = t;
  if (now_ - last_token_change_ >= times_.lease_s / 2) {
    changed_ = true;
    last_token_change_ = now_;
  }
}

void Worker::on_answer(double now, int status, const std::string& body, double sent,
                       uint64_t of_agent_epoch) {
  in_flight = false;
  if (dead) return;
  json j = json::parse(body, nullptr, false);
  if (status == 200 && j.is_object()) {
    if (of_agent_epoch != agent_epoch) return;
    const uint64_t t = j.value("baton", uint64_t{0});
    if (t < fencing_token) return;  // dropped: neither executed nor renewing
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
  if (t < fencing_token) return {409, make_report(now, false)};
  see_token(t);
  if (j["tenure"].get<uint64_t>() != agent_epoch) return {409, make_report(now, false)};
  execute(now, j["orders"]);
  return {200, make_report(now, false)};
}

void Worker::execute(double now, const json& commands) {
  for (const auto& o : commands) {
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
      stop(*it, o.value("mercy_s", 0.0));
    } else if (verb == "reap") {
      if (it != tasks_.end() && it->phase == Task::kExited) {
        tasks_.erase(it);
        changed_ = true;
      }
    }
  }
}

void Worker::stop(Task& t, double mercy_s) {
  const JobTruth& job = *hooks_.job(t.key.job);
  const bool time_to_save = job.checkpoint_s > 0 && job.save_s > 0 && mercy_s >= job.save_s;
  if (t.phase == Task::kRunning && job.gang) {
    GangAttempt& gang = hooks_.gang(t.key, t.attempt);
    if (gang.stopped < 0) {
      gang.stopped = now_;
      gang.progress += now_ - gang.started;
    }
    if (time_to_save)
      gang.told.insert(t.key.index);
    else
      gang.hasty = true;
  }
  if (t.phase == Task::kRunning && time_to_save) {
    t.progress += now_ - t.since;
    t.phase = Task::kSaving;
    t.since = now_;
    changed_ = true;
  } else if (t.phase != Task::kSaving || mercy_s == 0) {
    exit(t, "stopped");
  }
}

}  // namespace standins
