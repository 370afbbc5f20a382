#include "rooksill/model/job.h"

#include <algorithm>

namespace rooksill::model {

bool JobSpec::allows_type(const std::string& name) const {
  return types.empty() || std::find(types.begin(), types.end(), name) != types.end();
}

}  // namespace rooksill::model
