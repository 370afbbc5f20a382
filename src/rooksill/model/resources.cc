#include "rooksill/model/resources.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rooksill::model {

double Resources::count_fitting(const Resources& request) const {
  double count = std::numeric_limits<double>::infinity();
  const auto limit_by = [&count](double available, double requested) {
    if (requested <= 0) return;
    count = std::min(count, std::floor((available + kRoundingError) / requested));
  };
  limit_by(cpus, request.cpus);
  limit_by(gpus, request.gpus);
  limit_by(memory_gb, request.memory_gb);
  return count;
}

double Resources::dominant_share(const Resources& used) const {
  double share = 0;
  if (cpus > 0) share = std::max(share, used.cpus / cpus);
  if (memory_gb > 0) share = std::max(share, used.memory_gb / memory_gb);
  if (gpus > 0) share = std::max(share, used.gpus / gpus);
  return share;
}

}  // namespace rooksill::model
