#include "runner/job_line.h"

namespace runner {

using nlohmann::json;
using standins::Shape;
using standins::UserJob;
using standins::Workload;

namespace {

constexpr size_t kIdDigits = 6;
constexpr char kBodyPrefix[] = "body.";

constexpr char kDefaultShape[] = "array";

Shape parse_shape(const Line& line) {
  const std::string name = line.text("shape", kDefaultShape);
  if (name == "service") return Shape::kService;
  if (name == "gang") return Shape::kGang;
  // Unknown shapes count as arrays here: they reach the controllers, which have to reject them.
  return Shape::kArray;
}

// Returns the name of the shape in the user API. Unknown shapes are passed through.
std::string wire_shape(const Line& line) {
  const std::string name = line.text("shape", kDefaultShape);
  return name == "array" ? "batch" : name == "gang" ? "ensemble" : name;
}

Workload read_workload(const Line& line, const std::string& id) {
  Workload workload;
  workload.id = id;
  workload.image = line.text("image", "img-1");
  workload.shape = parse_shape(line);
  workload.tasks = line.get_integer("tasks", 1);
  workload.fails = line.get_flag("fails");
  workload.cpus = line.get("cpus", 2);
  workload.memory_gb = line.get("memory", 2);
  workload.image_gb = line.get("image_gb", 0.5);
  workload.run_s = line.get("run", 5);
  workload.checkpoint_s = line.get("checkpoint", 0);
  workload.save_s = line.get("save", 0);
  return workload;
}

// Builds the JSON body of the submission; its field names are those of the user API.
json make_body(const Line& line, const UserJob& job) {
  const Workload& workload = job.workload;
  return json{{"id", workload.id},
              {"flock", job.job_class},
              {"owner", job.team},
              {"shape", wire_shape(line)},
              {"rank", line.text("priority", "standard")},
              {"pieces", workload.tasks},
              {"cores", workload.cpus},
              {"gpus", 0.0},
              {"memory_gb", workload.memory_gb},
              {"bundle", workload.image},
              {"size_gb", workload.image_gb},
              {"builds", job.types.empty() ? json(nullptr) : json(job.types)},
              {"ward", job.zone.empty() ? json(nullptr) : json(job.zone)},
              {"together", job.one_zone},
              {"spread", job.spread},
              {"loaners", job.spot},
              {"guess_s", workload.is_service() ? 0.0 : workload.run_s},
              {"snapshot_s", workload.checkpoint_s},
              {"flush_s", workload.save_s},
              {"due_s", nullptr}};
}

// Applies the parameters `body.NAME=VALUE` and `drop=NAME`. A value that is not JSON is sent as a
// string.
void override_body_fields(const Line& line, json& body) {
  for (const auto& [name, text] : line.parameters) {
    if (name.rfind(kBodyPrefix, 0) != 0) continue;
    json value = json::parse(text, nullptr, false);
    if (value.is_discarded()) value = text;
    body[name.substr(std::string(kBodyPrefix).size())] = std::move(value);
  }
  if (line.has("drop")) body.erase(line.text("drop", ""));
}

}  // namespace

std::string job_id(int number) {
  const std::string digits = std::to_string(number);
  const size_t zeros = digits.size() < kIdDigits ? kIdDigits - digits.size() : 0;
  return "wk-" + std::string(zeros, '0') + digits;
}

const std::vector<std::string>& job_parameters() {
  static const std::vector<std::string> kParameters{
      "class", "team",       "shape", "priority", "tasks",    "cpus",     "memory",
      "image", "image_gb",   "types", "zone",     "one_zone", "spread",   "spot",
      "run",   "checkpoint", "save",  "fails",    "drop",     kBodyPrefix};
  return kParameters;
}

UserJob read_job(const Line& line, const std::string& id) {
  UserJob job;
  job.workload = read_workload(line, id);
  job.team = line.text("team", "team-a");
  job.job_class = line.text("class", "work");
  job.zone = line.text("zone", "");
  if (line.has("types")) job.types = split(line.text("types", ""), ',');
  job.spot = line.get_flag("spot");
  job.spread = line.get_flag("spread");
  job.one_zone = line.get_flag("one_zone");
  job.body = make_body(line, job);
  override_body_fields(line, job.body);
  return job;
}

}  // namespace runner
