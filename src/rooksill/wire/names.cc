#include "rooksill/wire/names.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "rooksill/model/value_sizes.h"

namespace rooksill::wire {

namespace {
const std::string kJobIdPrefix = "wk-";
constexpr size_t kMaxJobIdBytes = 64;
}  // namespace

bool is_valid_job_id(const std::string& id) {
  if (id.size() <= kJobIdPrefix.size() || id.size() > kMaxJobIdBytes) return false;
  if (id.compare(0, kJobIdPrefix.size(), kJobIdPrefix) != 0) return false;
  return std::all_of(id.begin() + static_cast<std::ptrdiff_t>(kJobIdPrefix.size()), id.end(),
                     [](unsigned char c) { return c >= '0' && c <= '9'; });
}

bool is_valid_team_name(const std::string& team) {
  return !team.empty() && team.size() <= model::kMaxNameBytes &&
         std::all_of(team.begin(), team.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::string task_name(const model::TaskRef& task) {
  return task.job + "/" + std::to_string(task.index);
}

std::optional<model::TaskRef> parse_task_name(const std::string& name) {
  const auto slash = name.rfind('/');
  if (slash == std::string::npos || slash + 1 >= name.size()) return std::nullopt;
  model::TaskRef task;
  task.job = name.substr(0, slash);
  const char* end = name.data() + name.size();
  const auto [rest, error] = std::from_chars(name.data() + slash + 1, end, task.index);
  if (error != std::errc() || rest != end || !is_valid_job_id(task.job)) return std::nullopt;
  return task;
}

}  // namespace rooksill::wire
