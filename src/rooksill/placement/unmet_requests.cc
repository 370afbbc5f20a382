#include "rooksill/placement/unmet_requests.h"

namespace rooksill::placement {

namespace {

// A job that is bound to some machines says nothing of the others.
bool is_unconstrained(const model::JobSpec& spec) {
  return spec.zone.empty() && spec.types.empty() && !spec.spread && !spec.one_zone;
}

// Compared without any tolerance, so that a request covers itself and no smaller one.
bool at_most(const model::Resources& a, const model::Resources& b) {
  return a.cpus <= b.cpus && a.gpus <= b.gpus && a.memory_gb <= b.memory_gb;
}

}  // namespace

UnmetRequests::Kind UnmetRequests::kind_of(const model::JobSpec& spec) {
  return {spec.spot, spec.checkpoint_s > 0, spec.priority};
}

bool UnmetRequests::covers(const model::JobSpec& spec) const {
  if (!is_unconstrained(spec)) return false;
  auto known = smallest_.find(kind_of(spec));
  return known != smallest_.end() && at_most(known->second, spec.request);
}

void UnmetRequests::add(const model::JobSpec& spec) {
  if (!is_unconstrained(spec)) return;
  auto [known, fresh] = smallest_.try_emplace(kind_of(spec), spec.request);
  if (!fresh && at_most(spec.request, known->second)) known->second = spec.request;
}

}  // namespace rooksill::placement
