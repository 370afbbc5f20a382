// The wire between controllers and workers.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rooksill/core/model.h"

namespace rooksill::worker {

// kGathering: a gang's task that has its image and waits for the others.
enum class Phase { kFetching, kGathering, kRunning, kSaving, kExited };
// kMatesGone, kAlone: a gang's task that ended because of the others; says nothing of its machine.
enum class Cause {
  kNone,
  kDone,
  kStopped,
  kMatesGone,
  kAlone,
  kError,
  kNoRoom,
  kBusy,
  kUnknownTask
};

struct ReportedTask {
  core::TaskRef task;
  uint64_t attempt = 0;
  Phase phase = Phase::kFetching;
  Cause cause = Cause::kNone;
};

struct Report {
  std::string machine, address, type, zone;
  bool spot = false;
  uint64_t session = 0, seq = 0, token = 0;
  std::optional<double> notice_s;
  std::vector<ReportedTask> tasks;
};

struct Order {
  enum class Op { kStart, kStop, kForget } op;
  core::TaskRef task;
  uint64_t attempt = 0;
  double grace_s = 0;
};

std::optional<Report> parse_report(const std::string& body);
std::string encode_answer(uint64_t token, const std::vector<Order>& orders);
std::string encode_commands(uint64_t token, uint64_t session, const std::vector<Order>& orders);
std::string encode_redirect(const std::string& label);

}  // namespace rooksill::worker
