// What every decoder of this package returns: the message, or the reason why there is none.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace rooksill::wire {

// Whose messages could not be decoded.
enum class Interface {
  kUser,           // requests of users
  kWorker,         // heartbeats of workers
  kCloud,          // answers of the cloud provider
  kStoreProtocol,  // answers of the key-value store
  kStoreRecord,    // the service's own keys and values in the key-value store
  kController      // messages of other controllers
};

const char* interface_name(Interface interface);

// The first fault that was found in a message.
struct DecodeError {
  Interface interface = Interface::kUser;
  std::string field;   // by its name on the wire; empty: the message as a whole
  std::string reason;  // what is wrong with it
  std::string value;   // what stands there, shortened; empty: nothing, or not of interest

  // "FIELD: REASON", or the reason alone. Users are answered with this text.
  std::string message() const;
  // All that is known, for the log.
  std::string describe() const;
};

// Either a T or a DecodeError. Used like std::optional where the reason is of no interest.
template <typename T>
class [[nodiscard]] Decoded {
 public:
  // Implicit, so that a decoder returns either.
  Decoded(T value) : result_(std::in_place_index<0>, std::move(value)) {}
  Decoded(DecodeError error) : result_(std::in_place_index<1>, std::move(error)) {}

  bool has_value() const { return result_.index() == 0; }
  explicit operator bool() const { return has_value(); }

  // Only with a value.
  T& operator*() { return *std::get_if<0>(&result_); }
  const T& operator*() const { return *std::get_if<0>(&result_); }
  T* operator->() { return std::get_if<0>(&result_); }
  const T* operator->() const { return std::get_if<0>(&result_); }

  // Only without a value.
  const DecodeError& error() const { return *std::get_if<1>(&result_); }

 private:
  std::variant<T, DecodeError> result_;
};

}  // namespace rooksill::wire
