// The container images that a machine is expected to have on its disk.
#pragma once

#include <list>

namespace rooksill::agent {

// An estimate: workers do not report their images. It follows the images of the tasks that a worker
// reported running, and evicts the least recently used ones as the worker does.
class ImageCache {
 public:
  struct Entry {
    int image = 0;  // its number in store::Replica
    double size_gb = 0;
  };

  bool contains(int image) const;
  // The image is in use on the machine now.
  void touch(int image, double size_gb);
  // Evicts images until the rest fits.
  void shrink_to(double capacity_gb);
  // Most recently used first.
  const std::list<Entry>& entries() const { return entries_; }

 private:
  std::list<Entry> entries_;
  double total_size_gb_ = 0;
};

}  // namespace rooksill::agent
