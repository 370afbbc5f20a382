#include "rooksill/placement/unmet_requests.h"

namespace rooksill::placement {

namespace {

// Returns whether the job may run on any machine. A job that is restricted to some machines says
// nothing about the others.
bool is_unconstrained(const model::JobSpec& spec) {
  return spec.zone.empty() && spec.types.empty() && !spec.spread && !spec.one_zone;
}

// Compares without a rounding tolerance, so that a request covers itself and no smaller one.
bool is_at_most(const model::Resources& a, const model::Resources& b) {
  return a.cpus <= b.cpus && a.gpus <= b.gpus && a.memory_gb <= b.memory_gb;
}

}  // namespace

UnmetRequests::RequestClass UnmetRequests::class_of(const model::JobSpec& spec) {
  return {spec.spot, spec.checkpoint_s > 0, spec.priority};
}

bool UnmetRequests::covers(const model::JobSpec& spec) const {
  if (!is_unconstrained(spec)) return false;
  auto smallest = smallest_by_class_.find(class_of(spec));
  return smallest != smallest_by_class_.end() && is_at_most(smallest->second, spec.request);
}

void UnmetRequests::add(const model::JobSpec& spec) {
  if (!is_unconstrained(spec)) return;
  auto [smallest, inserted] = smallest_by_class_.try_emplace(class_of(spec), spec.request);
  if (!inserted && is_at_most(spec.request, smallest->second)) smallest->second = spec.request;
}

}  // namespace rooksill::placement
