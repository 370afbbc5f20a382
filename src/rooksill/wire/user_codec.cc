#include "rooksill/wire/user_codec.h"

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "rooksill/model/job.h"
#include "rooksill/wire/json_fields.h"
#include "rooksill/wire/names.h"

namespace rooksill::wire {

using nlohmann::json;

namespace {

constexpr uint64_t kMaxTasks = 100000;
constexpr size_t kMaxTextBytes = 200;
constexpr size_t kMaxTypes = 64;
constexpr double kMaxAmount = 1e12;  // of resources and of seconds

// The text is part of the answer to the user.
FieldError invalid(const char* field) { return {field, "missing or invalid", ""}; }

// A field that is null counts as left out.
const json* find(const json& object, const char* field) {
  auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const json& need(const json& object, const char* field) {
  const json* value = find(object, field);
  if (value == nullptr) throw invalid(field);
  return *value;
}

std::string to_text(const json& value, const char* field) {
  if (!value.is_string()) throw invalid(field);
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > kMaxTextBytes) throw invalid(field);
  return text;
}

double to_amount(const json& value, const char* field) {
  if (!value.is_number()) throw invalid(field);
  const double amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > kMaxAmount) throw invalid(field);
  return amount;
}

std::string text(const json& object, const char* field) {
  return to_text(need(object, field), field);
}

double amount(const json& object, const char* field) {
  return to_amount(need(object, field), field);
}

bool flag(const json& object, const char* field) {
  const json& value = need(object, field);
  if (!value.is_boolean()) throw invalid(field);
  return value.get<bool>();
}

model::Shape read_shape(const json& object) {
  const std::string shape = text(object, "shape");
  if (shape == "batch") return model::Shape::kArray;
  if (shape == "service") return model::Shape::kService;
  // Not in the protocol's text; see docs/questions.md.
  if (shape == "ensemble") return model::Shape::kGang;
  throw invalid("shape");
}

model::Priority read_priority(const json& object) {
  const std::string rank = text(object, "rank");
  if (rank == "prod") return model::Priority::kProd;
  if (rank == "urgent") return model::Priority::kUrgent;
  if (rank == "standard") return model::Priority::kStandard;
  if (rank == "idle") return model::Priority::kIdle;
  throw invalid("rank");
}

uint32_t read_tasks(const json& object) {
  const json& pieces = need(object, "pieces");
  if (!pieces.is_number_integer() || pieces.get<int64_t>() < 1 ||
      pieces.get<uint64_t>() > kMaxTasks)
    throw invalid("pieces");
  return pieces.get<uint32_t>();
}

std::vector<std::string> read_types(const json& object) {
  const json* builds = find(object, "builds");
  if (builds == nullptr) return {};
  if (!builds->is_array() || builds->empty() || builds->size() > kMaxTypes) throw invalid("builds");
  std::vector<std::string> types;
  for (const auto& type : *builds) types.push_back(to_text(type, "builds"));
  return types;
}

// Field by field in this order: the answer names the first that is invalid.
model::JobSpec read_job(const json& object) {
  model::JobSpec spec;
  spec.id = text(object, "id");
  if (!valid_job_id(spec.id)) throw invalid("id");
  spec.job_class = text(object, "flock");
  spec.team = text(object, "owner");
  spec.shape = read_shape(object);
  spec.priority = read_priority(object);
  spec.tasks = read_tasks(object);
  spec.request.cpus = amount(object, "cores");
  spec.request.gpus = amount(object, "gpus");
  spec.request.memory_gb = amount(object, "memory_gb");
  spec.image = text(object, "bundle");
  spec.image_gb = amount(object, "size_gb");
  spec.types = read_types(object);
  if (const json* zone = find(object, "ward")) spec.zone = to_text(*zone, "ward");
  spec.one_zone = flag(object, "together");
  spec.spread = flag(object, "spread");
  spec.spot = flag(object, "loaners");
  spec.estimate_s = amount(object, "guess_s");
  spec.checkpoint_s = amount(object, "snapshot_s");
  spec.save_s = amount(object, "flush_s");
  if (const json* due = find(object, "due_s")) spec.deadline_s = to_amount(*due, "due_s");
  return spec;
}

}  // namespace

Decoded<model::JobSpec> parse_job(const std::string& body) {
  return decode_with(Interface::kUser, [&] { return read_job(parse_object(body)); });
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
