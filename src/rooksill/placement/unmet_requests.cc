#include "rooksill/placement/unmet_requests.h"

namespace rooksill::placement {

namespace {

// A job that is bound to some machines says nothing of the others.
bool is_unconstrained(const model::JobSpec& spec) {
  return spec.zone.empty() && spec.types.empty() && !spec.spread && !spec.one_zone;
}

// Compared without any tolerance, so that a request covers itself and no smaller one.
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
  auto [known, fresh] = smallest_by_class_.try_emplace(class_of(spec), spec.request);
  if (!fresh && is_at_most(spec.request, known->second)) known->second = spec.request;
}

}  // namespace rooksill::placement
