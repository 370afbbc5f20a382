// The result type of all decoders in this package: the decoded message or a decoding error.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace rooksill::wire {

// The interface that a message belongs to.
enum class Interface {
  kUser,           // requests of users
  kWorker,         // heartbeats of workers
  kCloud,          // responses of the cloud provider
  kStoreProtocol,  // responses of the key-value store
  kStoreRecord,    // the service's own keys and values in the key-value store
  kController      // messages of other controllers
};

// Returns the name of an interface for log messages.
const char* interface_name(Interface interface);

// Describes the first error found in a message.
struct DecodeError {
  Interface interface = Interface::kUser;
  std::string field;   // name on the wire; empty: the error concerns the whole message
  std::string reason;  // what is wrong with the field
  std::string value;   // the truncated value; empty: absent or not relevant

  // Returns "FIELD: REASON", or the reason alone if no field is named. This text is sent to users.
  std::string message() const;
  // Returns the interface, field, reason and value as one line for the log.
  std::string describe() const;
};

// Holds either a T or a DecodeError. Can be used like std::optional when the error is not needed.
template <typename T>
class [[nodiscard]] Decoded {
 public:
  // Implicit, so that decoders can return either a value or an error.
  Decoded(T value) : result_(std::in_place_index<0>, std::move(value)) {}
  Decoded(DecodeError error) : result_(std::in_place_index<1>, std::move(error)) {}

  bool has_value() const { return result_.index() == 0; }
  explicit operator bool() const { return has_value(); }

  // Return the value. Precondition: has_value().
  T& operator*() { return *std::get_if<0>(&result_); }
  const T& operator*() const { return *std::get_if<0>(&result_); }
  T* operator->() { return std::get_if<0>(&result_); }
  const T* operator->() const { return std::get_if<0>(&result_); }

  // Returns the error. Precondition: !has_value().
  const DecodeError& error() const { return *std::get_if<1>(&result_); }

 private:
  std::variant<T, DecodeError> result_;
};

}  // namespace rooksill::wire
