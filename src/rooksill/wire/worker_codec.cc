#include "rooksill/worker/codec.h"

#include <nlohmann/json.hpp>

#include "rooksill/core/codec.h"

namespace rooksill::worker {

using nlohmann::json;

namespace {

json encode_orders(const std::vector<Order>& orders) {
  json a = json::array();
  for (const auto& o : orders) {
    json x{{"piece", core::task_name(o.task)}, {"try", o.attempt}};
    switch (o.op) {
      case Order::Op::kStart:
        x["verb"] = "start";
        break;
      case Order::Op::kStop:
        x["verb"] = "stop";
        x["mercy_s"] = o.grace_s;
        break;
      case Order::Op::kForget:
        x["verb"] = "reap";
        break;
    }
    a.push_back(std::move(x));
  }
  return a;
}

std::optional<Phase> parse_phase(const std::string& s) {
  if (s == "pulling") return Phase::kFetching;
  if (s == "gathering") return Phase::kGathering;
  if (s == "running") return Phase::kRunning;
  if (s == "saving") return Phase::kSaving;
  if (s == "exited") return Phase::kExited;
  return std::nullopt;
}

Cause parse_cause(const std::string& s) {
  if (s == "done") return Cause::kDone;
  if (s == "stopped") return Cause::kStopped;
  if (s == "mates_gone") return Cause::kMatesGone;
  if (s == "alone") return Cause::kAlone;
  if (s == "no_room") return Cause::kNoRoom;
  if (s == "busy") return Cause::kBusy;
  if (s == "no_such") return Cause::kUnknownTask;
  return Cause::kError;
}

}  // namespace

std::optional<Report> parse_report(const std::string& body) try {
  json j = json::parse(body, nullptr, false);
  if (!j.is_object()) return std::nullopt;
  Report r;
  r.machine = j.at("perch").get<std::string>();
  r.address = j.at("address").get<std::string>();
  r.type = j.at("build").get<std::string>();
  r.zone = j.at("ward").get<std::string>();
  r.spot = j.at("loaners").get<bool>();
  r.session = j.at("tenure").get<uint64_t>();
  r.seq = j.at("tally").get<uint64_t>();
  r.token = j.at("baton").get<uint64_t>();
  auto notice = j.find("warning_s");
  if (notice != j.end() && !notice->is_null()) r.notice_s = notice->get<double>();
  for (const auto& p : j.at("pieces")) {
    ReportedTask t;
    auto ref = core::parse_task_name(p.at("piece").get<std::string>());
    auto phase = parse_phase(p.at("status").get<std::string>());
    if (!ref || !phase) return std::nullopt;
    t.task = *ref;
    t.attempt = p.at("try").get<uint64_t>();
    t.phase = *phase;
    if (t.phase == Phase::kExited) t.cause = parse_cause(p.value("cause", "error"));
    r.tasks.push_back(std::move(t));
  }
  if (r.machine.empty() || r.machine.size() > 100) return std::nullopt;
  return r;
} catch (const json::exception&) {
  return std::nullopt;
}

std::string encode_answer(uint64_t token, const std::vector<Order>& orders) {
  return json{{"baton", token}, {"orders", encode_orders(orders)}}.dump();
}

std::string encode_commands(uint64_t token, uint64_t session, const std::vector<Order>& orders) {
  return json{{"baton", token}, {"tenure", session}, {"orders", encode_orders(orders)}}.dump();
}

std::string encode_redirect(const std::string& label) {
  if (label.empty()) return "{}";
  return json{{"steward", label}}.dump();
}

}  // namespace rooksill::worker
