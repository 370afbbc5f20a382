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
  void clear() { smallest_.clear(); }

 private:
  // Jobs for which the same headroom, machines and victims count.
  struct Kind {
    bool spot = false;
    bool saves = false;
    model::Priority priority = model::Priority::kStandard;
    auto operator<=>(const Kind&) const = default;
  };
  static Kind kind_of(const model::JobSpec& spec);

  std::map<Kind, model::Resources> smallest_;
};

}  // namespace rooksill::placement
