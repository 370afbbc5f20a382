#include "rooksill/agent/image_cache.h"

#include <algorithm>

namespace rooksill::agent {

bool ImageCache::contains(int image) const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [image](const Entry& entry) { return entry.image == image; });
}

void ImageCache::touch(int image, double size_gb) {
  auto known = std::find_if(entries_.begin(), entries_.end(),
                            [image](const Entry& entry) { return entry.image == image; });
  if (known != entries_.end()) {
    entries_.splice(entries_.begin(), entries_, known);
    return;
  }
  entries_.push_front({image, size_gb});
  total_size_gb_ += size_gb;
}

void ImageCache::shrink_to(double capacity_gb) {
  while (total_size_gb_ > capacity_gb && !entries_.empty()) {
    total_size_gb_ -= entries_.back().size_gb;
    entries_.pop_back();
  }
}

}  // namespace rooksill::agent
