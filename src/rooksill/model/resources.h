// Resource amounts requested by tasks and provided by machines.
#pragma once

namespace rooksill::model {

// An amount of CPUs and GPUs, both possibly fractional, and of memory in GB.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  // Tolerance for the rounding error of sums of fractions.
  static constexpr double kRoundingError = 1e-9;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, double factor) {
    a.cpus *= factor;
    a.gpus *= factor;
    a.memory_gb *= factor;
    return a;
  }
  bool operator==(const Resources&) const = default;

  // Returns whether each amount is at most that of `free`.
  bool fits_in(const Resources& free) const {
    return cpus <= free.cpus + kRoundingError && gpus <= free.gpus + kRoundingError &&
           memory_gb <= free.memory_gb + kRoundingError;
  }

  // Returns how many whole times `request` fits into these resources; infinity if it is zero.
  double count_fitting(const Resources& request) const;
  // Returns the largest fraction of these resources that `used` takes, over CPUs, memory and GPUs.
  double dominant_share(const Resources& used) const;
};

}  // namespace rooksill::model
