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
  for (const auto& [name, value] : context_.take_counters())
    rates += fmt::format(" {} {:.1f}", name, value / period_s);
  context_.info("load",
                "per second:{}; queued: {} changes, {} submissions, {} polls; {} jobs with "
                "unplaced tasks; {}",
                rates, owner_.queued(), user_requests_.submissions(), user_requests_.polls(),
                replica_.waiting_jobs.size(), owner_.summary());
}

}  // namespace rooksill::controller
