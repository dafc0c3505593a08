"""What our own file of further parts says, checked; nothing of a part that is off is imported."""
