/**
 * Errors with a kind, a message and a remedy, returned in a boost::leaf::result. See tryOr() for
 * the usual way to handle a result.
 */
#pragma once

#include "almondridge/base/enumnames.h"

#include <boost/leaf.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace almondridge {

/** Kinds of errors that callers of a function have to distinguish. */
enum class ErrorKind {
    InvalidInput, ///< A file, field or request body violates its schema.
    NotFound,     ///< The named object doesn't exist.
    Conflict,     ///< The change is based on a state that is no longer current.
    Unauthorized, ///< The key or authentication proof is missing or wrong.
    StaleFence,   ///< The sender's lease has been superseded by a later one.
    Unavailable,  ///< Nothing was sent: the peer couldn't be reached or refused.
    Interrupted,  ///< Sent, but no complete response was received: the effect is unknown.
    TimedOut,     ///< A deadline passed before the first byte was sent.
    Overloaded,   ///< A limit was reached; the error says when to retry.
    NoMemory,     ///< The process has no memory for it now; later it may.
    Trimmed,      ///< The requested log records are no longer retained.
    Protocol,     ///< The peer's response violates the protocol.
    Internal,     ///< A bug in this program.
};

inline constexpr std::array<EnumName<ErrorKind>, 13> ErrorKindNames {{
    {ErrorKind::InvalidInput, "invalid-input"},
    {ErrorKind::NotFound, "not-found"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::Unauthorized, "unauthorized"},
    {ErrorKind::StaleFence, "stale-fence"},
    {ErrorKind::Unavailable, "unavailable"},
    {ErrorKind::Interrupted, "interrupted"},
    {ErrorKind::TimedOut, "timed-out"},
    {ErrorKind::Overloaded, "overloaded"},
    {ErrorKind::NoMemory, "no-memory"},
    {ErrorKind::Trimmed, "trimmed"},
    {ErrorKind::Protocol, "protocol"},
    {ErrorKind::Internal, "internal"},
}};

/** An error in one field of a file or request body. */
struct FieldError
{
    std::string field_;  ///< Path of the field, as in "peers.listen".
    std::string value_;  ///< The offending value, shortened.
    std::string remedy_; ///< What to write instead.
};

/** An error, what to do about it, and the fields concerned if there are any. */
struct Error
{
    ErrorKind kind_ = ErrorKind::Internal;
    std::string message_;
    std::string remedy_;
    std::vector<FieldError> fields_ {};
};

/** A value or an Error. */
template <typename T>
using Result = boost::leaf::result<T>;

namespace detail {

template <typename ResultType>
struct ValueOf;

template <typename T>
struct ValueOf<Result<T>>
{
    using Type = T;
};

} // namespace detail

/** Creates a failed Result. */
inline boost::leaf::error_id fail(ErrorKind kind, std::string message, std::string remedy)
{
    return boost::leaf::new_error(Error {kind, std::move(message), std::move(remedy), {}});
}

/** Creates a failed Result from an Error. */
inline boost::leaf::error_id fail(Error error)
{
    return boost::leaf::new_error(std::move(error));
}

/** Text for logs and terminals: kind, message, fields and remedy; one line if it has no fields. */
std::string describe(const Error &error);

/**
 * Calls function, which returns Result<T>, and passes an error to onError, which returns T. An
 * exception is passed as an error of the kind Internal.
 */
template <typename Function, typename OnError>
auto tryOr(Function &&function, OnError &&onError)
{
    return boost::leaf::try_catch(
        [&] {
            return boost::leaf::try_handle_all(
                std::forward<Function>(function),
                [&](const Error &error) { return onError(error); },
                [&] {
                    return onError(Error {ErrorKind::Internal, "unclassified failure",
                                          "report it with the log lines before it"});
                });
        },
        [&](const std::exception &failure) {
            return onError(Error {ErrorKind::Internal, failure.what(),
                                  "report it with the log lines before it"});
        });
}

/** Calls function, which returns Result<T>, and returns a variant of the value and the Error. */
template <typename Function>
auto capture(Function &&function)
{
    using Value = typename detail::ValueOf<std::invoke_result_t<Function>>::Type;
    using Stored = std::conditional_t<std::is_void_v<Value>, std::monostate, Value>;
    using Captured = std::variant<Stored, Error>;
    return tryOr(
        [&]() -> Result<Captured> {
            if constexpr (std::is_void_v<Value>) {
                BOOST_LEAF_CHECK(function());
                return Captured {std::in_place_index<0>};
            } else {
                BOOST_LEAF_AUTO(value, function());
                return Captured {std::in_place_index<0>, std::move(value)};
            }
        },
        [](const Error &error) {
            return Captured {std::in_place_index<1>, error};
        });
}

} // namespace almondridge
