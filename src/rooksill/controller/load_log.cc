#include "rooksill/controller/load_log.h"

#include <fmt/format.h>

#include <string>
#include <utility>

namespace rooksill::controller {

void LoadLog::tick() {
  const Settings& settings = context_.settings;
  const double period_s = settings.operators.period_reports * settings.platform.report_s;
  if (!timer_.fire(context_.now.steady, period_s)) return;
  // The first call only starts the first period, which has no statistics yet.
  if (!std::exchange(first_period_, false)) write(period_s);
}

void LoadLog::write(double period_s) {
  std::string rates;
  for (const auto& [name, value] : context_.consume_counters())
    rates += fmt::format(" {} {:.1f}", name, value / period_s);
  context_.info("load",
                "per second:{}; queued: {} changes, {} submissions, {} polls; {} jobs with "
                "unplaced tasks; {}",
                rates, owner_.pending_shard_writes(), user_requests_.queued_submission_count(),
                user_requests_.queued_poll_count(), replica_.pending_jobs.size(),
                owner_.machine_summary());
}

}  // namespace rooksill::controller
