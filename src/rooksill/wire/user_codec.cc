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
constexpr double kMaxAmount = 1e12;  // upper limit for amounts of resources and for seconds

// The error text is part of the response to the user.
FieldError invalid_field(const char* field) { return {field, "missing or invalid", ""}; }

// Returns an optional field, or nullptr if it is absent or null.
const json* find_field(const json& object, const char* field) {
  auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const json& require_field(const json& object, const char* field) {
  const json* value = find_field(object, field);
  if (value == nullptr) throw invalid_field(field);
  return *value;
}

std::string to_text(const json& value, const char* field) {
  if (!value.is_string()) throw invalid_field(field);
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > kMaxTextBytes) throw invalid_field(field);
  return text;
}

double to_amount(const json& value, const char* field) {
  if (!value.is_number()) throw invalid_field(field);
  const double amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > kMaxAmount) throw invalid_field(field);
  return amount;
}

std::string require_text(const json& object, const char* field) {
  return to_text(require_field(object, field), field);
}

double require_amount(const json& object, const char* field) {
  return to_amount(require_field(object, field), field);
}

bool require_bool(const json& object, const char* field) {
  const json& value = require_field(object, field);
  if (!value.is_boolean()) throw invalid_field(field);
  return value.get<bool>();
}

model::Shape read_shape(const json& object) {
  const std::string shape = require_text(object, "shape");
  if (shape == "batch") return model::Shape::kArray;
  if (shape == "service") return model::Shape::kService;
  // Not specified in the text of the protocol; see docs/questions.md.
  if (shape == "ensemble") return model::Shape::kGang;
  throw invalid_field("shape");
}

model::Priority read_priority(const json& object) {
  const std::string rank = require_text(object, "rank");
  if (rank == "prod") return model::Priority::kProd;
  if (rank == "urgent") return model::Priority::kUrgent;
  if (rank == "standard") return model::Priority::kStandard;
  if (rank == "idle") return model::Priority::kIdle;
  throw invalid_field("rank");
}

uint32_t read_tasks(const json& object) {
  const json& pieces = require_field(object, "pieces");
  if (!pieces.is_number_integer() || pieces.get<int64_t>() < 1 ||
      pieces.get<uint64_t>() > kMaxTasks)
    throw invalid_field("pieces");
  return pieces.get<uint32_t>();
}

std::vector<std::string> read_types(const json& object) {
  const json* builds = find_field(object, "builds");
  if (builds == nullptr) return {};
  if (!builds->is_array() || builds->empty() || builds->size() > kMaxTypes)
    throw invalid_field("builds");
  std::vector<std::string> types;
  for (const auto& type : *builds) types.push_back(to_text(type, "builds"));
  return types;
}

// The order of the fields is significant: the error response names the first invalid one.
model::JobSpec read_job(const json& object) {
  model::JobSpec spec;
  spec.id = require_text(object, "id");
  if (!is_valid_job_id(spec.id)) throw invalid_field("id");
  spec.job_class = require_text(object, "flock");
  spec.team = require_text(object, "owner");
  spec.shape = read_shape(object);
  spec.priority = read_priority(object);
  spec.tasks = read_tasks(object);
  spec.request.cpus = require_amount(object, "cores");
  spec.request.gpus = require_amount(object, "gpus");
  spec.request.memory_gb = require_amount(object, "memory_gb");
  spec.image = require_text(object, "bundle");
  spec.image_gb = require_amount(object, "size_gb");
  spec.types = read_types(object);
  if (const json* zone = find_field(object, "ward")) spec.zone = to_text(*zone, "ward");
  spec.one_zone = require_bool(object, "together");
  spec.spread = require_bool(object, "spread");
  spec.spot = require_bool(object, "loaners");
  spec.estimate_s = require_amount(object, "guess_s");
  spec.checkpoint_s = require_amount(object, "snapshot_s");
  spec.save_s = require_amount(object, "flush_s");
  if (const json* due = find_field(object, "due_s")) spec.deadline_s = to_amount(*due, "due_s");
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
