//! Calls of an agent to itself, which need no message.

use super::agent::Agent;
use super::{AgentAction, AgentInput};
use crate::link::CallId;

/// Call ids above this value are assigned to requests of the agent to itself.
pub(super) const LOCAL_CALL_ID_BASE: u64 = 1 << 63;

impl Agent {
    /// Turns calls of the agent to itself, and the replies to them, into inputs, so that they need
    /// no message.
    pub(super) fn take_local_calls(
        &mut self,
        actions: &mut Vec<AgentAction>,
        start: usize,
    ) -> Vec<AgentInput> {
        let mut inputs = Vec::new();
        let mut index = start;
        while index < actions.len() {
            let is_local = match &actions[index] {
                AgentAction::Call { envelope, .. } => {
                    envelope.to.as_ref() == Some(&self.options.id)
                }
                AgentAction::Reply { call, .. } => self.local_calls.contains_key(call),
                _ => false,
            };
            if !is_local {
                index += 1;
                continue;
            }
            match actions.remove(index) {
                AgentAction::Call { call, envelope, .. } => {
                    self.last_local_call_id += 1;
                    let local_call = CallId(self.last_local_call_id);
                    self.local_calls.insert(local_call, call);
                    inputs.push(AgentInput::Request {
                        call: local_call,
                        envelope,
                    });
                }
                AgentAction::Reply { call, response } => {
                    if let Some(call) = self.local_calls.remove(&call) {
                        inputs.push(AgentInput::Response {
                            call,
                            result: Ok(response),
                        });
                    }
                }
                _ => {}
            }
        }
        inputs
    }
}
