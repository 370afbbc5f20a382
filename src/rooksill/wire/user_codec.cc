#include "rooksill/wire/user_codec.h"

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "rooksill/model/job.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::wire {

using nlohmann::json;

namespace {

constexpr uint64_t kMaxTasks = 100000;
constexpr size_t kMaxTextBytes = 200;
constexpr size_t kMaxTypes = 64;

struct Bad {
  std::string field;
};

const json* find(const json& j, const char* name) {
  auto it = j.find(name);
  return it == j.end() || it->is_null() ? nullptr : &*it;
}

const json& need(const json& j, const char* name) {
  const json* v = find(j, name);
  if (v == nullptr) throw Bad{name};
  return *v;
}

std::string name_of(const json& v, const char* name) {
  if (!v.is_string()) throw Bad{name};
  auto s = v.get<std::string>();
  if (s.empty() || s.size() > kMaxTextBytes) throw Bad{name};
  return s;
}

double amount_of(const json& v, const char* name, double low) {
  if (!v.is_number()) throw Bad{name};
  double d = v.get<double>();
  if (!std::isfinite(d) || d < low || d > 1e12) throw Bad{name};
  return d;
}

std::string text(const json& j, const char* name) { return name_of(need(j, name), name); }
double amount(const json& j, const char* name, double low = 0) {
  return amount_of(need(j, name), name, low);
}
bool flag(const json& j, const char* name) {
  const json& v = need(j, name);
  if (!v.is_boolean()) throw Bad{name};
  return v.get<bool>();
}

}  // namespace

std::optional<model::JobSpec> parse_job(const std::string& body, std::string& error) try {
  json j = json::parse(body, nullptr, false);
  if (!j.is_object()) {
    error = "not a JSON object";
    return std::nullopt;
  }
  model::JobSpec s;
  s.id = text(j, "id");
  if (!valid_job_id(s.id)) throw Bad{"id"};
  s.job_class = text(j, "flock");
  s.team = text(j, "owner");
  const std::string shape = text(j, "shape");
  if (shape == "batch")
    s.shape = model::Shape::kArray;
  else if (shape == "service")
    s.shape = model::Shape::kService;
  else if (shape == "ensemble")
    s.shape = model::Shape::kGang;  // not in the protocol's text; see docs/questions.md
  else
    throw Bad{"shape"};
  const std::string rank = text(j, "rank");
  if (rank == "prod")
    s.priority = model::Priority::kProd;
  else if (rank == "urgent")
    s.priority = model::Priority::kUrgent;
  else if (rank == "standard")
    s.priority = model::Priority::kStandard;
  else if (rank == "idle")
    s.priority = model::Priority::kIdle;
  else
    throw Bad{"rank"};
  const json& pieces = need(j, "pieces");
  if (!pieces.is_number_integer() || pieces.get<int64_t>() < 1 ||
      pieces.get<uint64_t>() > kMaxTasks)
    throw Bad{"pieces"};
  s.tasks = pieces.get<uint32_t>();
  s.request.cpus = amount(j, "cores");
  s.request.gpus = amount(j, "gpus");
  s.request.memory_gb = amount(j, "memory_gb");
  s.image = text(j, "bundle");
  s.image_gb = amount(j, "size_gb");
  if (const json* types = find(j, "builds")) {
    if (!types->is_array() || types->empty() || types->size() > kMaxTypes) throw Bad{"builds"};
    for (const auto& t : *types) s.types.push_back(name_of(t, "builds"));
  }
  if (const json* zone = find(j, "ward")) s.zone = name_of(*zone, "ward");
  s.one_zone = flag(j, "together");
  s.spread = flag(j, "spread");
  s.spot = flag(j, "loaners");
  s.estimate_s = amount(j, "guess_s");
  s.checkpoint_s = amount(j, "snapshot_s");
  s.save_s = amount(j, "flush_s");
  if (const json* due = find(j, "due_s")) s.deadline_s = amount_of(*due, "due_s", 0);
  return s;
} catch (const Bad& bad) {
  error = bad.field + ": missing or invalid";
  return std::nullopt;
} catch (const json::exception&) {
  error = "malformed";
  return std::nullopt;
}

std::string encode_status(const model::Job& job) {
  const char* status = "queued";
  uint32_t running = job.placed;
  if (job.end == model::JobEnd::kCancelled) {
    status = "withdrawn";
  } else if (job.end == model::JobEnd::kDone) {
    status = "done";
    running = 0;
  } else if (running > 0) {
    status = "running";
  }
  return json{{"id", job.spec.id}, {"status", status}, {"done", job.done}, {"running", running}}
      .dump();
}

std::string encode_accepted(const std::string& id) {
  return json{{"id", id}, {"status", "queued"}}.dump();
}

std::string encode_error(const std::string& text) {
  return json{{"error", text}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace rooksill::wire
