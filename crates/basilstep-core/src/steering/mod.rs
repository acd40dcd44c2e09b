//! Where a packet goes: by its flow token, or by placement when it opens a flow.
