// The container images that a machine is expected to have on its disk.
#pragma once

#include <list>

namespace rooksill::agent {

// Estimates the contents of a worker's image cache, since workers do not report their images. It is
// updated with the images of the tasks that the worker reports as running, and evicts the least
// recently used images as the worker does.
class ImageCache {
 public:
  // A cached image.
  struct Entry {
    int image = 0;  // index of the image in store::Replica
    double size_gb = 0;
  };

  // Returns whether the image is expected to be cached.
  bool contains(int image) const;
  // Marks the image as in use on the machine, adding it if necessary.
  void touch(int image, double size_gb);
  // Evicts the least recently used images until the others fit into `capacity_gb`.
  void shrink_to(double capacity_gb);
  // Returns the cached images, most recently used first.
  const std::list<Entry>& entries() const { return entries_; }

 private:
  std::list<Entry> entries_;
  double total_size_gb_ = 0;
};

}  // namespace rooksill::agent
