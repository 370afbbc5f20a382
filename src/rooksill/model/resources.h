// Amounts of what tasks take and machines have.
#pragma once

namespace rooksill::model {

// CPUs and GPUs in whole units or fractions of them, memory in GB.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  // What sums of fractions may be off by.
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

  // Whether each amount is at most that of `free`.
  bool fits_in(const Resources& free) const {
    return cpus <= free.cpus + kRoundingError && gpus <= free.gpus + kRoundingError &&
           memory_gb <= free.memory_gb + kRoundingError;
  }

  // How many times `request` fits in here, as a whole number; infinite if it asks for nothing.
  double count_fitting(const Resources& request) const;
  // The largest share of this that `used` takes up, over CPUs, memory and GPUs.
  double dominant_share(const Resources& used) const;
};

}  // namespace rooksill::model
