// Requests for which no machine had room in the present pass.
#pragma once

#include <compare>
#include <map>

#include "rooksill/model/job.h"
#include "rooksill/model/resources.h"

namespace rooksill::placement {

// Spares the search for a place where a request as small found none before: of a long queue nearly
// all shards end here.
class UnmetRequests {
 public:
  // Whether a request that is no larger, under the same rules, found no place.
  bool covers(const model::JobSpec& spec) const;
  void add(const model::JobSpec& spec);
  void clear() { smallest_by_class_.clear(); }

 private:
  // Jobs for which the same headroom, machines and victims count.
  struct RequestClass {
    bool can_use_spot = false;
    bool has_checkpoints = false;
    model::Priority priority = model::Priority::kStandard;
    auto operator<=>(const RequestClass&) const = default;
  };
  static RequestClass class_of(const model::JobSpec& spec);

  std::map<RequestClass, model::Resources> smallest_by_class_;
};

}  // namespace rooksill::placement
